"""The crash of one replica must not stop later turns that only have the same text.

A program sends four parallel turns with one text, all of which continue its first turn, and their
replica crashes. Three seconds after it has been replaced, the turn of another program with that
text is sent, with six tries in all. `TROUBLE=0`: no replica crashes.
"""

from __future__ import annotations

import os
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "harness-2"))

from deployment import CannotRunError, Deployment, Record  # noqa: E402
from replicas import MODELS, Replica  # noqa: E402
from requester import ORDINARY_KEY, Answer, manifest, new_attempt, send_once  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SETTLE_SECONDS = 4.0
REPLICAS = 9
TOKENS, BYTES = 1_030, 5_100
TEMPLATE = b"Check the menu above against the notes on each student."
SAMPLES = 4
# While the samples run, an event takes as long as on a full engine.
EVENT_SECONDS = 0.1
CRASH_AFTER_SECONDS = 0.25
# `for_s` of the sheet's crashes, then `livenessMs` and some.
DOWN_SECONDS, LIVENESS_SECONDS = 4.5, 4.0
# Two sends of each of three tries, as requesters send a turn that fails.
TRIES, PAUSE_SECONDS = 6, 0.3
FIRST_TURNS, WARM_UP_TURNS = 10, 30


class Program:
    """One program with one line of turns."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._name = new_attempt()
        self._part = f"{new_attempt()}:{TOKENS}"

    def send(self, ip: str, body: bytes, previous: str = "", what: str = "first turn") -> Answer:
        """Send one turn, and write down what was answered."""
        headers = {
            "X-Tarragonhall-Program-Id": self._name,
            "X-Tarragonhall-Session-Id": new_attempt(),
            "X-Tarragonhall-Program-Deadline-Ms": "40000",
            "X-Tarragonhall-Token-Budget": "1000",
            "X-Tarragonhall-Token-Usage": f"{TOKENS},15",
            "X-Tarragonhall-Prompt-Prefix": self._part,
        }
        if previous:
            headers["X-Tarragonhall-Prompt-Prefix"] += f",{new_attempt()}:20"
            headers["X-Tarragonhall-Previous-Turn"] = previous
        answer = send_once(ip, ORDINARY_KEY, "/talk/1", body, headers)
        self._deployment.record.write(
            what,
            entry=ip,
            attempt=answer.attempt,
            previous=previous,
            status=answer.status,
            whole=answer.is_whole,
            body=answer.body[:120].decode("latin-1") if answer.status >= 300 else "",
        )
        return answer


def reached(replicas: list[Replica], answers: list[Answer]) -> int:
    """Return how many of the requests a replica has run."""
    ran = {run.attempt for replica in replicas for run in replica.runs}
    return sum(answer.attempt in ran for answer in answers)


def crash_replica_of(replicas: list[Replica], attempt: str) -> Replica:
    """Crash the replica that ran a request."""
    for replica in replicas:
        if any(run.attempt == attempt for run in replica.runs):
            replica.crash()
            return replica
    raise CannotRunError("no replica ran the first turn")


def run(deployment: Deployment) -> int:
    """Run the case; return 1 if the rule was broken, 0 if it held."""
    replicas = [Replica(deployment, MODELS, number) for number in range(REPLICAS)]
    deployment.put_manifest(manifest())
    deployment.wait_until_ready()
    time.sleep(SETTLE_SECONDS)
    ips = deployment.edge_ips
    # Ordinary traffic, so that the entries have links to each other.
    for number in range(WARM_UP_TURNS):
        Program(deployment).send(ips[number % 3], b"w" * BYTES)
    program = Program(deployment)
    first = program.send(ips[0], b"a" * BYTES)
    if not first.is_success:
        raise CannotRunError("the first turn was not answered")
    for replica in replicas:
        replica.event_s = EVENT_SECONDS
    samples = [
        threading.Thread(target=program.send, args=(ips[0], TEMPLATE, first.attempt, "sample"))
        for _ in range(SAMPLES)
    ]
    for sample in samples:
        sample.start()
    time.sleep(CRASH_AFTER_SECONDS)
    if TROUBLE:
        crashed = crash_replica_of(replicas, first.attempt)
        deployment.record.write("replica crashed", replica=crashed.replica_id)
    for sample in samples:
        sample.join()
    time.sleep(DOWN_SECONDS)
    if TROUBLE:
        replicas.append(Replica(deployment, MODELS, REPLICAS))
        deployment.record.write("replica started", replica=replicas[-1].replica_id)
    time.sleep(LIVENESS_SECONDS)
    other = Program(deployment)
    other_first = other.send(ips[1], b"b" * BYTES)
    if not other_first.is_success:
        raise CannotRunError("the first turn of the other program was not answered")
    tries = []
    for number in range(TRIES):
        answer = other.send(ips[number % 3], TEMPLATE, other_first.attempt, "next turn")
        tries.append(answer)
        if answer.is_success:
            break
        time.sleep(PAUSE_SECONDS)
    first_turns = [Program(deployment).send(ips[n % 3], b"c" * BYTES) for n in range(FIRST_TURNS)]
    time.sleep(0.5)
    tries_reached, first_reached = reached(replicas, tries), reached(replicas, first_turns)
    is_broken = len(tries) >= 5 and tries_reached == 0 and first_reached >= 0.9 * FIRST_TURNS
    deployment.record.write(
        "result",
        broken=is_broken,
        tries=len(tries),
        tries_that_reached_a_replica=tries_reached,
        first_turns=FIRST_TURNS,
        first_turns_that_reached_a_replica=first_reached,
    )
    return int(is_broken)


def main() -> int:
    """Start the deployment and run the case."""
    record = Record(Path(__file__).resolve().parent / "record.txt")
    try:
        with Deployment(record) as deployment:
            return run(deployment)
    except CannotRunError as error:
        record.write("could not run", reason=str(error))
        return 2


if __name__ == "__main__":
    sys.exit(main())
