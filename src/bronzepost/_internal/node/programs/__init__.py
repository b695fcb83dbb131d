"""Calls of programs, from their start to their end."""
