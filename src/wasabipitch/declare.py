"""Functions to declare a deployment in Python and print it as YAML.

Example:
    from wasabipitch import declare

    shop = declare.deployment(
        "shop",
        groups=[
            declare.group(
                "orders",
                [
                    declare.instance("orders-1", "10.0.1.5:3306", "north"),
                    declare.instance("orders-2", "10.0.2.5:3306", "south"),
                    declare.instance("orders-3", "10.0.3.5:3306", "east"),
                ],
            )
        ],
        classes=[
            declare.replica_read("order-status", max_age_s=3),
            declare.write_once("payment", weight=40),
        ],
    )
    declare.print_yaml(shop)
"""

import sys
from collections.abc import Iterable
from typing import Any, TextIO

from pydantic import ValidationError

from wasabipitch.deployment import (
    DEFAULT_RETENTION_S,
    Deployment,
    Group,
    Instance,
    Policy,
    RequestClass,
    describe_errors,
    dump,
    parse,
)
from wasabipitch.exceptions import SettingsError

DEFAULT_DEADLINE_S = 5.0
LONG_DEADLINE_S = 600.0
DEFAULT_WEIGHT = 10
LONG_WEIGHT = 1


def instance(
    name: str, address: str, data_centre: str, *, leaving: bool = False
) -> Instance:
    """Declare a database instance.

    Args:
        name: The instance's name, unique in the deployment.
        address: The ``ip:port`` at which it serves the MySQL protocol.
        data_centre: The name of the data centre that it runs in.
        leaving: Whether it gets no new work, because it is about to be removed.
    """
    return _make(
        Instance, name=name, address=address, data_centre=data_centre, leaving=leaving
    )


def group(
    name: str,
    instances: Iterable[Instance],
    *,
    slots: int = 2,
    connections: int = 16,
    request_retention_s: float = DEFAULT_RETENTION_S,
) -> Group:
    """Declare a database group.

    Args:
        name: The database name that callers use.
        instances: The group's instances. An odd number of three or more is best.
        slots: The number of statements that an instance runs at once.
        connections: The number of connections that an instance accepts.
        request_retention_s: The time for which request ids are kept, in seconds. A
            request that is repeated later runs again.
    """
    return _make(
        Group,
        name=name,
        instances=tuple(instances),
        slots=slots,
        connections=connections,
        request_retention_s=request_retention_s,
    )


def read(
    name: str,
    *,
    deadline_s: float = DEFAULT_DEADLINE_S,
    weight: int = DEFAULT_WEIGHT,
    statements: Iterable[str] = (),
) -> RequestClass:
    """Declare a class of reads that need the latest data.

    Args:
        name: The class name that callers write in their hints.
        deadline_s: The time that a caller waits for an answer, in seconds.
        weight: The class's share of a contended queue, relative to other classes.
        statements: The statements that belong to the class without a hint.
    """
    return _make_class(
        name, deadline_s=deadline_s, weight=weight, statements=statements
    )


def replica_read(
    name: str,
    *,
    max_age_s: float,
    deadline_s: float = DEFAULT_DEADLINE_S,
    weight: int = DEFAULT_WEIGHT,
    statements: Iterable[str] = (),
) -> RequestClass:
    """Declare a class of reads that may run on replicas.

    Args:
        name: The class name, as for ``read``.
        max_age_s: The maximum age of the data that a read may return, in seconds.
        deadline_s: The deadline, as for ``read``.
        weight: The weight, as for ``read``.
        statements: The statements, as for ``read``.
    """
    return _make_class(
        name,
        max_age_s=max_age_s,
        deadline_s=deadline_s,
        weight=weight,
        statements=statements,
    )


def write(
    name: str,
    *,
    deadline_s: float = DEFAULT_DEADLINE_S,
    weight: int = DEFAULT_WEIGHT,
    statements: Iterable[str] = (),
) -> RequestClass:
    """Declare a class of idempotent writes, which may safely run twice.

    The arguments are those of ``read``.
    """
    return _make_class(
        name, deadline_s=deadline_s, weight=weight, statements=statements
    )


def write_once(
    name: str,
    *,
    deadline_s: float = DEFAULT_DEADLINE_S,
    weight: int = DEFAULT_WEIGHT,
    statements: Iterable[str] = (),
) -> RequestClass:
    """Declare a class of non-idempotent writes, which run at most once.

    Callers must give each write a request id. The arguments are those of ``read``.
    """
    return _make_class(
        name,
        idempotent=False,
        deadline_s=deadline_s,
        weight=weight,
        statements=statements,
    )


def payment(
    name: str = "payment",
    *,
    deadline_s: float = DEFAULT_DEADLINE_S,
    weight: int = 4 * DEFAULT_WEIGHT,
    statements: Iterable[str] = (),
) -> RequestClass:
    """Declare a ``write_once`` class that goes before most others in a queue.

    Its default weight is four times that of other classes. The arguments are those
    of ``read``.
    """
    return write_once(name, deadline_s=deadline_s, weight=weight, statements=statements)


def report(
    name: str,
    *,
    max_age_s: float | None = None,
    deadline_s: float = LONG_DEADLINE_S,
    weight: int = LONG_WEIGHT,
    statements: Iterable[str] = (),
) -> RequestClass:
    """Declare a class of long reads, which run many times longer than the rest.

    One slot of each instance is reserved for other statements. The arguments are
    those of ``replica_read``. Without ``max_age_s``, the reads need the latest data.
    """
    return _make_class(
        name,
        max_age_s=max_age_s,
        deadline_s=deadline_s,
        weight=weight,
        long=True,
        statements=statements,
    )


def long_write(
    name: str,
    *,
    idempotent: bool = True,
    deadline_s: float = LONG_DEADLINE_S,
    weight: int = LONG_WEIGHT,
    statements: Iterable[str] = (),
) -> RequestClass:
    """Declare a class of long writes, which run many times longer than the rest.

    Callers must give a non-idempotent write a request id. The other arguments are
    those of ``read``.
    """
    return _make_class(
        name,
        idempotent=idempotent,
        deadline_s=deadline_s,
        weight=weight,
        long=True,
        statements=statements,
    )


def deployment(
    name: str,
    *,
    groups: Iterable[Group],
    classes: Iterable[RequestClass] = (),
    **policy: Any,
) -> Deployment:
    """Declare a whole deployment.

    Args:
        name: The deployment's name.
        groups: The database groups.
        classes: The request classes.
        policy: The switches of ``Policy``, such as ``fair_queue=False``.

    Raises:
        SettingsError: The deployment is invalid. The message has one line for each
            error, with its path.
    """
    declared = _make(
        Deployment,
        name=name,
        groups=tuple(groups),
        classes=tuple(classes),
        policy=_make(Policy, **policy),
    )
    return parse(dump(declared))


def print_yaml(declared: Deployment, file: TextIO | None = None) -> None:
    """Print a deployment as the YAML that ``wasabipitch-ctl apply`` reads."""
    (file or sys.stdout).write(dump(declared))


def _make_class(name: str, *, statements: Iterable[str], **fields: Any) -> RequestClass:
    return _make(RequestClass, name=name, statements=tuple(statements), **fields)


def _make(kind: type, **fields: Any) -> Any:
    try:
        return kind(**fields)
    except ValidationError as exc:
        title = f"{kind.__name__.lower()} {fields.get('name', '')}".strip()
        raise SettingsError(f"{title}: {describe_errors(exc)}") from exc


__all__ = [
    "deployment",
    "group",
    "instance",
    "long_write",
    "payment",
    "print_yaml",
    "read",
    "replica_read",
    "report",
    "write",
    "write_once",
]
