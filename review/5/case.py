"""Two lost disks must not cost an acknowledged manifest where two losses are to be borne.

Four machines serve control, one in each zone. Three changes are acknowledged; then two machines
lose power and come back with empty disks. `TROUBLE=0`: they come back with their disks.
"""

from __future__ import annotations

import json
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "harness-2"))

from deployment import (  # noqa: E402
    CONTROL_PORT,
    CannotRunError,
    Deployment,
    Record,
    call_json,
)
from requester import manifest  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ("zona-a", "zona-b", "zona-c", "zona-d")
LOSSES = 2
SETTLE_SECONDS, DOWN_SECONDS = 8.0, 1.0
VERSIONS = (7, 9, 12)
# `recoveryS`, and the least time for which the operator asks, `livenessMs`, and some.
RECOVERY_SECONDS, READ_SECONDS = 15.0, 8.0


def read_back(deployment: Deployment) -> list[int]:
    """Read the manifest from each machine in turn; return the versions that came."""
    versions = []
    deadline = time.monotonic() + READ_SECONDS
    while time.monotonic() < deadline:
        for ip in deployment.edge_ips:
            try:
                status, body = call_json("GET", f"{ip}:{CONTROL_PORT}", "/api/config", None, 1.0)
            except OSError:
                status, body = 0, b""
            version = json.loads(body)["version"] if status == 200 else 0
            deployment.record.write("read back", machine=ip, status=status, version=version)
            if version:
                versions.append(version)
        time.sleep(0.5)
    return versions


def run(deployment: Deployment) -> int:
    """Run the case; return 1 if the rule was broken, 0 if it held."""
    time.sleep(SETTLE_SECONDS)
    for version in VERSIONS:
        deployment.put_manifest(manifest() | {"version": version})
        time.sleep(1.0)
    lost = deployment.of_role("control")[:LOSSES]
    for process in lost:
        process.kill()
    time.sleep(DOWN_SECONDS)
    for process in lost:
        process.start_again(without_disk=TROUBLE)
    time.sleep(RECOVERY_SECONDS)
    versions = read_back(deployment)
    newest = max(VERSIONS)
    is_broken = not versions or any(version < newest for version in versions)
    deployment.record.write(
        "result", broken=is_broken, newest=newest, versions_read=sorted(set(versions))
    )
    return int(is_broken)


def main() -> int:
    """Start the deployment and run the case."""
    record = Record(Path(__file__).resolve().parent / "record.txt")
    try:
        with Deployment(record, ZONES, LOSSES, stores=0) as deployment:
            return run(deployment)
    except CannotRunError as error:
        record.write("could not run", reason=str(error))
        return 2


if __name__ == "__main__":
    sys.exit(main())
