"""Tests that need no socket and no second process."""
