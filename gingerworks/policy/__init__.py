"""Every decision of a gateway, without any input or output of its own.

``Policy`` takes events and returns actions; it is deterministic.  The types of events, actions and settings
are in ``gingerworks/interface.py``.  Quotas rest on the call gapping counter of Turner and Key;
``docs/design.md`` says what was changed about it and why.  A module imports only modules that come before it
in this order: constants, gap_counter, clock_sync, speculative_admission, servers and load_shedding,
in_flight, customer, quotas, driver.
"""

from gingerworks.policy.driver import Policy

__all__ = ["Policy"]
