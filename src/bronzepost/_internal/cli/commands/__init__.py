"""One module for each command, with its options and its action."""
