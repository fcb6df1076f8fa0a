"""The order in which holders that wait for a bucket's tokens are served."""

from __future__ import annotations

import random

from tarragonhall_decisions import Bucket
from tarragonhall_model import Rate

RNG = random.Random(1)


def empty_bucket() -> Bucket:
    return Bucket(Rate(5.0, 5.0), 0.0, 0.0)


def test_holder_that_times_out_first_goes_first():
    # Guards against a call that times out behind others that could wait for seconds.
    bucket = empty_bucket()
    patient = bucket.grant("patient", 4.0, 0.0, RNG, timeout_s=2.5)
    urgent = bucket.grant("urgent", 1.0, 0.0, RNG, timeout_s=0.5)
    assert (urgent.backlog, urgent.retry_after_ms) == (0.0, 200)
    assert patient.retry_after_ms == 200
    assert bucket.grant("patient", 4.0, 0.2, RNG, timeout_s=2.3).tokens == 0.0
    assert bucket.grant("urgent", 1.0, 0.2, RNG, timeout_s=0.3).tokens == 1.0
    assert bucket.grant("patient", 4.0, 0.4, RNG, timeout_s=2.1).tokens == 1.0


def test_equals_are_served_in_request_order():
    bucket = empty_bucket()
    for holder in ("one", "two"):
        bucket.grant(holder, 1.0, 0.0, RNG)
    assert bucket.grant("two", 1.0, 0.2, RNG).tokens == 0.0
    assert bucket.grant("one", 1.0, 0.2, RNG).tokens == 1.0


def test_patient_holder_is_served_before_it_times_out():
    # Guards against a call that never gets its token while more urgent ones keep arriving.
    bucket = empty_bucket()
    bucket.grant("patient", 1.0, 0.0, RNG, timeout_s=2.5)
    served_at = None
    for step in range(1, 13):
        now = step * 0.2
        bucket.grant(f"urgent-{step}", 1.0, now, RNG, timeout_s=1.3)
        if bucket.grant("patient", 1.0, now, RNG, timeout_s=2.5 - now).tokens:
            served_at = now
            break
    assert served_at is not None and served_at < 2.5
