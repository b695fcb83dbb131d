"""Gateway logic without I/O: routes, placement, budgets and histories."""
