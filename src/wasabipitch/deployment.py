"""The configuration that operators declare: groups, request classes and policy.

``parse`` checks a document as a whole and reports all errors together, each with
its path.
"""

from dataclasses import field
from typing import Annotated, Any, Literal

import msgspec
import yaml
from pydantic import ConfigDict, Field, TypeAdapter, ValidationError
from pydantic.dataclasses import dataclass

from wasabipitch.decoding import decode_json
from wasabipitch.exceptions import SettingsError, UnknownClass, UnknownGroup
from wasabipitch.models import Address

DEFAULT_CLASS = "default"
DEFAULT_RETENTION_S = 7 * 24 * 3600.0
NAME_PATTERN = r"^[a-z][a-z0-9_-]{0,62}$"

# PyYAML may be built without its C extension, which has the faster safe loader.
YamlLoader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)

_STRICT_CONFIG = ConfigDict(extra="forbid")
Name = Annotated[str, Field(pattern=NAME_PATTERN)]


@dataclass(frozen=True, config=_STRICT_CONFIG)
class Instance:
    """One database instance of a group.

    Args:
        name: The instance's name, unique in the deployment.
        address: The ``ip:port`` at which it serves the MySQL protocol.
        data_centre: The name of the data centre that it runs in.
        leaving: Whether it gets no new work, because it is about to be removed.
    """

    name: Name
    address: Annotated[str, Field(pattern=r"^[0-9a-fA-F.:\[\]]+:\d+$")]
    data_centre: str
    leaving: bool = False

    @property
    def endpoint(self) -> Address:
        """The parsed address."""
        return Address.parse(self.address)


@dataclass(frozen=True, config=_STRICT_CONFIG)
class Group:
    """A database group: a primary and its replicas.

    Args:
        name: The database name that callers use.
        instances: The group's instances. An odd number of three or more is best.
        slots: The number of statements that an instance runs at once.
        connections: The number of connections that an instance accepts.
        request_retention_s: The time for which request ids are kept, in seconds. A
            request that is repeated later runs again.
    """

    name: Name
    instances: Annotated[tuple[Instance, ...], Field(min_length=1)]
    slots: Annotated[int, Field(ge=1)] = 2
    connections: Annotated[int, Field(ge=3)] = 16
    request_retention_s: Annotated[float, Field(ge=3600)] = DEFAULT_RETENTION_S

    def instance(self, name: str) -> Instance:
        """Return the instance with a name, or raise ``KeyError``."""
        for instance in self.instances:
            if instance.name == name:
                return instance
        raise KeyError(name)


@dataclass(frozen=True, config=_STRICT_CONFIG)
class RequestClass:
    """The rules for the requests of one class.

    Args:
        name: The class name that callers write in their hints.
        max_age_s: The maximum age of the data that a read may return, in seconds,
            or None if a read needs the latest data.
        idempotent: Whether a write of this class may safely run twice. A
            non-idempotent write must carry a request id.
        deadline_s: The time that a caller waits for an answer, in seconds.
        weight: The class's share of a contended queue, relative to other classes.
        long: Whether its statements run many times longer than the rest.
        statements: The statements that belong to the class without a hint. Literals
            and parameters match any value.
    """

    name: Name
    max_age_s: Annotated[float, Field(gt=0)] | None = None
    idempotent: bool = True
    deadline_s: Annotated[float, Field(gt=0, le=3600)] = 5.0
    weight: Annotated[int, Field(ge=1, le=1000)] = 10
    long: bool = False
    statements: tuple[str, ...] = ()


@dataclass(frozen=True, config=_STRICT_CONFIG)
class Policy:
    """Switches that turn parts of the policy off, to measure the effect of each.

    Args:
        pooling: With ``owner``, one pool owns a group. With ``entry``, the baseline,
            each entry's own pool serves all groups.
        confirm_reads: Whether a read on the primary waits until a majority holds the
            data that it returns, so that a failover can't lose them.
        replica_reads: Whether reads with a maximum age may run on replicas.
        reserve_slot: Whether long statements leave one slot of each instance to
            other statements.
        fair_queue: Whether queues are weighted by class and fair between sessions.
            Otherwise they are first in, first out.
        refuse_early: Whether requests that can't meet their deadline are refused
            at once.
        open_ahead: Whether connections are opened before the queue needs them.
        hold_over_failover: Whether requests that did not run are queued for the next
            primary during a failover or switchover.
        failover: Whether a new primary is promoted when the old one has failed.
    """

    pooling: Literal["owner", "entry"] = "owner"
    confirm_reads: bool = True
    replica_reads: bool = True
    reserve_slot: bool = True
    fair_queue: bool = True
    refuse_early: bool = True
    open_ahead: bool = True
    hold_over_failover: bool = True
    failover: bool = True


@dataclass(frozen=True, config=_STRICT_CONFIG)
class Deployment:
    """A whole configuration: groups, request classes and policy."""

    name: Name
    groups: tuple[Group, ...]
    classes: tuple[RequestClass, ...] = ()
    policy: Policy = field(default_factory=Policy)

    def group(self, name: str) -> Group:
        """Return the group with a name, or raise ``UnknownGroup``."""
        for group in self.groups:
            if group.name == name:
                return group
        raise UnknownGroup(f"group {name!r} is not declared")

    def request_class(self, name: str) -> RequestClass:
        """Return the request class with a name, or raise ``UnknownClass``.

        An empty name returns the built-in default class, and so does ``default``
        if no class of that name is declared.
        """
        for cls in self.classes:
            if cls.name == name:
                return cls
        if name in ("", DEFAULT_CLASS):
            return RequestClass(name=DEFAULT_CLASS)
        raise UnknownClass(f"request class {name!r} is not declared")


_DEPLOYMENT_ADAPTER = TypeAdapter(Deployment)


def parse(text: str) -> Deployment:
    """Return the deployment that a text declares.

    Args:
        text: YAML, as operators write it, or JSON from ``dump_json``.

    Raises:
        SettingsError: The document is invalid. The message has one line for each
            error, with its path.
    """
    document = _load_document(text)
    try:
        deployment = _DEPLOYMENT_ADAPTER.validate_python(document)
    except ValidationError as exc:
        raise SettingsError(describe_errors(exc)) from exc
    duplicates = list(_find_duplicates(deployment))
    if duplicates:
        raise SettingsError("\n".join(duplicates))
    return deployment


def dump(deployment: Deployment) -> str:
    """Return the deployment as YAML that ``parse`` reads back."""
    document = _DEPLOYMENT_ADAPTER.dump_python(deployment, mode="json")
    return yaml.safe_dump(document, sort_keys=False, allow_unicode=True)


def dump_json(deployment: Deployment) -> str:
    """Return the deployment as JSON, the form that is kept in the store.

    Each group is on a line of its own, so that a change of one group changes one
    line. ``parse`` takes about thirty times as long to read YAML.
    """
    document = _DEPLOYMENT_ADAPTER.dump_python(deployment, mode="json")
    groups = document.pop("groups")
    lines = ",\n".join(msgspec.json.encode(group).decode() for group in groups)
    rest = msgspec.json.encode(document).decode()
    return f'{{"groups": [\n{lines}\n],\n{rest[1:]}\n'


def _load_document(text: str) -> Any:
    if text.startswith("{"):
        try:
            return decode_json(text)
        except msgspec.DecodeError:
            # The text may be a YAML flow mapping, which starts with a brace too.
            pass
    try:
        return yaml.load(text, Loader=YamlLoader)
    except (yaml.YAMLError, RecursionError) as exc:
        raise SettingsError(f"not valid YAML: {exc}") from exc


def describe_errors(exc: ValidationError) -> str:
    """Return all validation errors, one on each line, with their paths."""
    lines = []
    for error in exc.errors():
        path = ".".join(str(part) for part in error["loc"]) or "(top level)"
        lines.append(f"{path}: {error['msg']}")
    return "\n".join(lines)


def _find_duplicates(deployment: Deployment):
    seen: set[str] = set()
    for i, group in enumerate(deployment.groups):
        names = [(f"groups.{i}.name", f"group {group.name}")]
        for j, instance in enumerate(group.instances):
            path = f"groups.{i}.instances.{j}"
            names.append((f"{path}.name", f"instance {instance.name}"))
            names.append((f"{path}.address", f"address {instance.address}"))
        for path, name in names:
            if name in seen:
                yield f"{path}: {name} is declared twice"
            seen.add(name)
    for i, cls in enumerate(deployment.classes):
        if f"class {cls.name}" in seen:
            yield f"classes.{i}.name: class {cls.name} is declared twice"
        seen.add(f"class {cls.name}")


__all__ = [
    "Deployment",
    "Group",
    "Instance",
    "Policy",
    "RequestClass",
    "dump",
    "dump_json",
    "parse",
]
