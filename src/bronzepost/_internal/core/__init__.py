"""Pure decision code: tables, typed events and typed actions."""
