"""The gateway: forwards callers' HTTP requests to backend servers."""
