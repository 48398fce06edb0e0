"""Runs a gateway with a wall clock that is stepped before the start, and again at each SIGUSR1.

The steps are in the environment variables WALL_STEP_BEFORE and WALL_STEP_LATER, in whole seconds.  As when an
operator sets the time, the monotonic clock is not affected.
"""

from __future__ import annotations

import os
import signal
import sys
import time
from types import FrameType

NS_PER_S = 1_000_000_000

_real_time_ns = time.time_ns
_step_s = int(os.environ.get("WALL_STEP_BEFORE", "0"))


def _stepped_time_ns() -> int:
    return _real_time_ns() + _step_s * NS_PER_S


def _stepped_time() -> float:
    return _stepped_time_ns() / NS_PER_S


def _step_again(signal_number: int, frame: FrameType | None) -> None:
    global _step_s
    _step_s += int(os.environ.get("WALL_STEP_LATER", "0"))
    print(f"stepped by {_step_s} s in all", file=sys.stderr, flush=True)


if __name__ == "__main__":
    time.time_ns, time.time = _stepped_time_ns, _stepped_time
    signal.signal(signal.SIGUSR1, _step_again)
    from gingerworks.gateway.__main__ import main  # only now, as this import reads the wall clock

    sys.exit(main())
