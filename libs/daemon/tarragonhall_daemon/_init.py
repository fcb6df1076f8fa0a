"""Initialises a deployment: the link secret, the data folder and the first operator."""

from __future__ import annotations

import os
import secrets
from pathlib import Path

from tarragonhall_model import Finding, InputError

from tarragonhall_daemon._settings import MIN_SECRET_BYTES, DaemonSettings


def create_secret(path: Path) -> bool:
    """Create a link secret that only its owner can read; return False if the file exists."""
    try:
        descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
    except FileExistsError:
        return False
    except OSError as error:
        raise InputError([Finding("/link/secret_file", f"{path}: {error.strerror}")]) from error
    with os.fdopen(descriptor, "w") as file:
        file.write(secrets.token_hex(MIN_SECRET_BYTES) + "\n")
        file.flush()
        os.fsync(file.fileno())
    return True


def initialise(settings: DaemonSettings) -> str:
    """Initialise a deployment; return the first operator's token, which is shown only once."""
    if settings.control is None:
        raise InputError(
            [Finding("/control", "only an instance with the control role can be initialised")]
        )
    from tarragonhall_control import initialise as initialise_control

    create_secret(Path(settings.link.secret_file))
    return initialise_control(settings.control, settings.instance)
