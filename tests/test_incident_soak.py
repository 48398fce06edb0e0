"""The soak of ``incident_soak`` with a few seeds; its long run is started by hand."""

from __future__ import annotations

import pytest
import uvloop

from tests.incident_soak import run_seed


# Guards against what the incident of 2026-12-05 showed, with all its troubles mixed and through a shutdown.
@pytest.mark.parametrize("seed", [1, 2, 3, 4, 5, 6])
def test_a_gateway_among_bad_clients_and_servers_keeps_the_rules_and_its_memory_limit(seed: int) -> None:
    failures, statuses = uvloop.run(run_seed(seed))
    assert failures == []
    assert statuses[200] > 100
