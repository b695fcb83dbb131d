"""Fakes of the platform for tests and the demo; not part of the package."""
