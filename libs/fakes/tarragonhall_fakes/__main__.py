"""Command-line entry points of the fakes and of the load tool."""

from __future__ import annotations

import click


@click.command()
@click.option("--listen", default="127.0.0.1:0", show_default=True, help="host:port")
@click.option("--max-batch", default=8, show_default=True, help="requests run at once")
@click.option("--cache-tokens", default=20_000, show_default=True, help="prefix cache, in tokens")
@click.option("--step-ms", default=2.0, show_default=True, help="duration of a step, in ms")
@click.option("--fencing/--no-fencing", default=False, help="reject old fencing numbers")
def engine(listen: str, max_batch: int, cache_tokens: int, step_ms: float, fencing: bool) -> None:
    """Run the fake model engine."""
    from tarragonhall_fakes._batch import EngineOptions
    from tarragonhall_fakes._engine import Engine
    from tarragonhall_fakes._server import FakeServer, serve_process

    options = EngineOptions(
        max_batch=max_batch,
        cache_tokens=cache_tokens,
        step_seconds=step_ms / 1000,
        fencing_enforced=fencing,
    )
    serve_process(FakeServer(Engine(options).respond, listen))


@click.command()
@click.option("--listen", default="127.0.0.1:0", show_default=True, help="host:port")
@click.option("--call-ms", default=0.0, show_default=True, help="duration of a call, in ms")
def service(listen: str, call_ms: float) -> None:
    """Run the fake plain service."""
    from tarragonhall_fakes._server import FakeServer, serve_process
    from tarragonhall_fakes._service import Service

    serve_process(FakeServer(Service(seconds_per_call=call_ms / 1000).respond, listen))


def load() -> None:
    """Run the load tool."""
    import eventlet

    # Before other imports: callers are green threads, and a blocking HTTP call would stop them all.
    eventlet.monkey_patch()
    from tarragonhall_fakes._load import main

    main()
