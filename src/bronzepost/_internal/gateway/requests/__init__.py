"""Forwarding of requests, with retries and resumed streams."""
