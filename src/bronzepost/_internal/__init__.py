"""Private modules of bronzepost, without a stable interface."""
