"""Scheduling: call order, server selection, admission, prefix retention.

The node and the benchmark call the same functions: ``apply_event`` updates the
tables, ``order_key`` and ``priority`` order calls, ``choose_backend_server``
selects a backend server, ``admit`` admits or refuses a call, and
``decide_retention`` keeps or releases the cached prefix of a paused program.
"""
