"""Which backend servers there are, and which one takes a request."""
