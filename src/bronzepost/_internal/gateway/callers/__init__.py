"""Connections of callers, and the HTTP messages on them."""
