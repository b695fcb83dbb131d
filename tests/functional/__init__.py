"""Tests that start processes or open sockets."""
