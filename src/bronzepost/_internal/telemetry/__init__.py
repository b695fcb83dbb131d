"""Log events, metrics and trace spans."""
