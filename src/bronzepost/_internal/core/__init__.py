"""Decision code without I/O: state, events and actions."""
