"""The process around the core: sockets, clients and the event loop."""
