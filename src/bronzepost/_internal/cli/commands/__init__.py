"""One module per command: its options and its work."""
