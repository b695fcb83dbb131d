"""Private modules of bronzepost; nothing here is a stable interface."""
