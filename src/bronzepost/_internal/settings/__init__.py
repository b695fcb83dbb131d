"""Settings of a process, read from TOML and checked in full."""
