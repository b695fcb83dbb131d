"""Stand-ins of the platform and of backend servers, for tests and the demo."""
