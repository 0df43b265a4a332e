"""Command line interface of the stand-ins."""

import asyncio
import sys
from collections.abc import Callable, Coroutine
from typing import Any

import fire
import uvloop

from standins import platform as platform_module
from standins import target as target_module
from standins.exceptions import UsageError
from standins.faults import Faults
from standins.instance import TargetConfig
from standins.platform import PlatformConfig

EXIT_USAGE = 2


def target() -> None:
    """Run the command `standin-target`."""
    _run_command(_target_config, TargetConfig, target_module.serve)


def platform() -> None:
    """Run the command `standin-platform`."""
    _run_command(_platform_config, PlatformConfig, platform_module.serve)


def _platform_config(
    *,
    listen: str = "127.0.0.1:0",
    reads_per_s: float = 2000,
    writes_per_s: float = 400,
    delay_ms: float = 2,
    host_lag_s: float = 1,
    seed: int = 1,
) -> PlatformConfig:
    """Run the stand-in platform: key-value store, leases, watches and host list.

    Args:
        listen: IP number and port to listen on; port 0 lets the kernel choose.
        reads_per_s: Rate limit for reads, in calls per second.
        writes_per_s: Rate limit for writes, in calls per second.
        delay_ms: Delay of each call, in milliseconds.
        host_lag_s: Delay after which a change shows in the host list, in seconds.
        seed: Seed of the random choice of lost answers.
    """
    host, port = _parse_address(listen)
    faults = Faults(
        delay_ms=_check_non_negative("delay_ms", delay_ms),
        host_lag_s=_check_non_negative("host_lag_s", host_lag_s),
        reads_per_s=_check_non_negative("reads_per_s", reads_per_s),
        writes_per_s=_check_non_negative("writes_per_s", writes_per_s),
    )
    return PlatformConfig(host, port, faults, _check_count("seed", seed, least=0))


def _target_config(
    *,
    name: str = "target",
    listen: str = "127.0.0.1:0",
    data_centre: str = "",
    slots: int = 2,
    connections: int = 16,
    connect_ms: float = 12,
    lag_ms: float = 5,
    work_ms: float = 0,
    initial: bool = True,
    primary: bool = False,
    user: str = "",
    password: str = "",
) -> TargetConfig:
    """Run one stand-in database instance that speaks the MySQL protocol.

    Args:
        name: Name of the instance.
        listen: IP number and port to listen on; port 0 lets the kernel choose.
        data_centre: Data centre of the instance.
        slots: Number of statements that can execute at once.
        connections: Number of connections that can be open at once.
        connect_ms: Delay of each handshake, in milliseconds.
        lag_ms: Delay between a commit on the leader and its application on this
            replica, in milliseconds.
        work_ms: Simulated execution time of every statement, in milliseconds.
        initial: Start as a founding member of a new group; if false, start empty to
            rejoin a group.
        primary: Start as the primary of term 1.
        user: Accept only this user; empty to accept any user.
        password: Password of that user.
    """
    return _make_target_config(**locals())


def _make_target_config(*, listen: object, **flags: Any) -> TargetConfig:
    host, port = _parse_address(listen)
    for name in ("slots", "connections"):
        flags[name] = _check_count(name, flags[name])
    for name in ("connect_ms", "lag_ms", "work_ms"):
        flags[name] = _check_non_negative(name, flags[name])
    for name in ("initial", "primary"):
        flags[name] = _parse_bool(name, flags[name])
    for name in ("name", "data_centre", "user", "password"):
        flags[name] = str(flags[name])
    if flags["primary"] and not flags["initial"]:
        raise UsageError(
            "--primary requires --initial: an instance that rejoins a group is empty"
        )
    return TargetConfig(host=host, port=port, **flags)


def _run_command(
    read_flags: Callable[..., Any],
    config_type: type,
    serve: Callable[[Any], Coroutine[Any, Any, None]],
) -> None:
    try:
        cfg = fire.Fire(read_flags, serialize=lambda _: None)
    except UsageError as exc:
        _exit_usage_error(str(exc))
    if not isinstance(cfg, config_type):
        _exit_usage_error(f"unexpected arguments: {' '.join(sys.argv[1:])}")
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve(cfg))


def _exit_usage_error(reason: str) -> None:
    print(f"ERROR: {reason}", file=sys.stderr)
    raise SystemExit(EXIT_USAGE)


def _parse_address(value: object) -> tuple[str, int]:
    host, _, port = str(value).rpartition(":")
    if not host or not port.isdigit() or int(port) > 0xFFFF:
        raise UsageError(f"--listen: {value!r} is not IP:PORT")
    return host, int(port)


def _check_count(flag: str, value: object, least: int = 1) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or value < least:
        raise UsageError(f"--{flag}: {value!r} is not an integer of at least {least}")
    return value


def _check_non_negative(flag: str, value: object) -> float:
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or value < 0:
        raise UsageError(f"--{flag}: {value!r} is not a number of at least 0")
    return float(value)


def _parse_bool(flag: str, value: object) -> bool:
    text = str(value).lower()
    if text not in ("true", "false"):
        raise UsageError(f"--{flag}: {value!r} is not true or false")
    return text == "true"
