"""Limits on the time that a thread itself takes.

Unlike the time on the wall, it does not grow beside other processes.
"""

import collections.abc
import contextlib
import time


@contextlib.contextmanager
def limit(seconds: float) -> collections.abc.Iterator[None]:
    """Fail if the block takes more processor time of this thread.

    :param seconds: what the block may take
    """
    started_at = time.thread_time()
    yield
    taken = time.thread_time() - started_at
    assert taken < seconds, f"{taken:.3f} s of processor time"
