"""The declared configuration: what the operators put in force.

It is checked whole: ``parse`` reports every error with its path at once.
"""

from dataclasses import field
from typing import Annotated, Any, Literal

import msgspec
import yaml
from pydantic import ConfigDict, Field, TypeAdapter, ValidationError
from pydantic.dataclasses import dataclass

from wasabipitch.exceptions import SettingsError, UnknownClass, UnknownGroup
from wasabipitch.models import Address

DEFAULT_CLASS = "default"
DEFAULT_RETENTION_S = 7 * 24 * 3600.0
NAME_PATTERN = r"^[a-z][a-z0-9_-]{0,62}$"

# The safe loader in C, where PyYAML was built with it.
YamlLoader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)

_STRICT_CONFIG = ConfigDict(extra="forbid")
Name = Annotated[str, Field(pattern=NAME_PATTERN)]


@dataclass(frozen=True, config=_STRICT_CONFIG)
class Instance:
    """One database instance of a group.

    Args:
        name: unique in the deployment.
        address: ``ip:port`` of its MySQL port.
        data_centre: where it stands.
        leaving: whether it gets no new work, because it will be taken out.
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
        name: the database name that callers use.
        instances: three or more, an odd number.
        slots: how many statements run at once on an instance.
        connections: how many connections an instance takes.
        request_retention_s: how long request ids are kept; a repeat that comes
            later runs again.
    """

    name: Name
    instances: Annotated[tuple[Instance, ...], Field(min_length=1)]
    slots: Annotated[int, Field(ge=1)] = 2
    connections: Annotated[int, Field(ge=3)] = 16
    request_retention_s: Annotated[float, Field(ge=3600)] = DEFAULT_RETENTION_S

    def instance(self, name: str) -> Instance:
        """Return the instance of that name, or raise ``KeyError``."""
        for instance in self.instances:
            if instance.name == name:
                return instance
        raise KeyError(name)


@dataclass(frozen=True, config=_STRICT_CONFIG)
class RequestClass:
    """How requests of one class are treated.

    Args:
        name: what callers write in their hints.
        max_age_s: reads may be answered from data this old; None: not at all.
        idempotent: whether a write of this class may safely run twice. A
            non-idempotent one must carry a request id.
        deadline_s: how long a caller waits for an answer.
        weight: its share of a contended queue, against the other classes.
        long: whether its statements run many times longer than the rest.
        statements: statements that belong to it without a hint; literals and
            parameters match any value.
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
    """Switches for each part of the policy, so that it can be measured.

    Args:
        pooling: ``owner``: one pool owns a group; ``entry``: the baseline, in
            which each entry's own pool serves all groups by itself.
        confirm_reads: reads on the primary wait until a majority holds what they
            show, so that nothing that was read vanishes with its primary.
        replica_reads: reads that declare an age go to replicas.
        reserve_slot: long work never holds the last slot of an instance.
        fair_queue: queues are weighted by class and fair between sessions,
            in place of first come first served.
        refuse_early: refuse at once what can't meet its deadline.
        open_ahead: open connections before the queue needs them.
        hold_over_failover: queue writes while a primary changes.
        failover: promote a new primary when the old one is lost.
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
    """All that is declared: groups, request classes and policy."""

    name: Name
    groups: tuple[Group, ...]
    classes: tuple[RequestClass, ...] = ()
    policy: Policy = field(default_factory=Policy)

    def group(self, name: str) -> Group:
        """Return the group of that name, or raise ``UnknownGroup``."""
        for group in self.groups:
            if group.name == name:
                return group
        raise UnknownGroup(f"group {name!r} is not declared")

    def request_class(self, name: str) -> RequestClass:
        """Return the class of that name, or raise ``UnknownClass``."""
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
        text: YAML, as operators keep it, or what ``dump_json`` returned.

    Raises:
        SettingsError: with every error and its path, one a line.
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
    """Return the deployment as ``parse`` reads it fastest, for the store.

    It is JSON with one group a line, so that a change of one group changes one
    line. YAML takes some thirty times as long to read.
    """
    document = _DEPLOYMENT_ADAPTER.dump_python(deployment, mode="json")
    groups = document.pop("groups")
    lines = ",\n".join(msgspec.json.encode(group).decode() for group in groups)
    rest = msgspec.json.encode(document).decode()
    return f'{{"groups": [\n{lines}\n],\n{rest[1:]}\n'


def _load_document(text: str) -> Any:
    if text.startswith("{"):
        try:
            return msgspec.json.decode(text)
        except msgspec.DecodeError:
            # A flow mapping of YAML may start in the same way.
            pass
    try:
        return yaml.load(text, Loader=YamlLoader)
    except yaml.YAMLError as exc:
        raise SettingsError(f"not valid YAML: {exc}") from exc


def describe_errors(exc: ValidationError) -> str:
    """Return every validation error with its path, one a line."""
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
