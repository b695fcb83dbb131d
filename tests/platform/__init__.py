"""Tests of the adapter to the users' platform, with stand-ins of its parts."""
