"""Pure decisions of the gateway: routes, placement, budgets and histories."""
