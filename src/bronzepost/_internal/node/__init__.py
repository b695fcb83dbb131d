"""The node process around the core: listeners, HTTP clients and loops."""
