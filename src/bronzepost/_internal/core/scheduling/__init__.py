"""Scheduling: order of calls, runner selection, admission, cache retention.

The node and the benchmark call the same functions: ``apply_event`` keeps the
tables, ``order_key`` and ``priority`` order calls, ``choose_backend_server``
selects a runner, ``admit`` admits or refuses, ``decide_retention`` decides about the
prefix of a paused program.
"""
