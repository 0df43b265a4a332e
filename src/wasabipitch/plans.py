"""Compares two configurations and describes the effects of the change."""

import dataclasses
import difflib
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

from wasabipitch.deployment import (
    Deployment,
    Group,
    Instance,
    RequestClass,
    dump,
    parse,
)
from wasabipitch.exceptions import SettingsError
from wasabipitch.models import majority

ADDED = "added"
REMOVED = "removed"
CHANGED = "changed"

_EFFECT_GROUP_RESTART = (
    "its owner finishes the running work of the group, then serves it anew; "
    "requests that come meanwhile wait or are refused (not run)"
)
_EFFECTS = {
    ("group", ADDED): "its owner connects to its instances within seconds",
    ("group", REMOVED): (
        "running work finishes; new requests for it are refused (not run)"
    ),
    ("group", CHANGED): _EFFECT_GROUP_RESTART,
    ("instance", ADDED): (
        f"it gets work once it has caught up; {_EFFECT_GROUP_RESTART}"
    ),
    ("instance", REMOVED): (
        "it gets no new work within seconds and its running work finishes; "
        f"{_EFFECT_GROUP_RESTART}"
    ),
    ("instance", CHANGED): _EFFECT_GROUP_RESTART,
    ("class", ADDED): "new requests may name it",
    ("class", REMOVED): "new requests that name it are refused (not run)",
    ("class", CHANGED): "new requests are treated so; running ones are not touched",
    ("policy", CHANGED): "every group restarts: " + _EFFECT_GROUP_RESTART,
    ("deployment", CHANGED): "none on running work",
}
_EFFECT_LEAVING = (
    "it gets no new work within seconds and its running work finishes; "
    "a primary first hands over to a replica"
)
_EFFECT_RETURNING = "it gets work again within seconds"


@dataclass(frozen=True, slots=True)
class Step:
    """One part of a configuration change.

    Args:
        subject: The kind and name of the item that changes, such as
            ``instance wc1-a``.
        change: The kind of change: ``added``, ``removed`` or ``changed``.
        details: The changed fields, each as ``name: before -> after``, or the
            settings of an added request class.
        effect: The effect of the step on running work.
    """

    subject: str
    change: str
    details: tuple[str, ...]
    effect: str


def plan_change(before: Deployment | None, after: Deployment) -> tuple[Step, ...]:
    """Return the steps that lead from one deployment to another.

    Args:
        before: The deployment in force, or None if there is none yet.
        after: The desired deployment.
    """
    if before is None:
        before = Deployment(name=after.name, groups=(), classes=())
    steps = [
        *_compare("deployment", before, after, skip=("groups", "classes", "policy")),
        *_compare("policy", before.policy, after.policy),
    ]
    for old, new in _match_by_name(before.groups, after.groups):
        steps += _compare_groups(old, new)
    for old, new in _match_by_name(before.classes, after.classes):
        steps += _compare("class", old, new)
    return tuple(steps)


def find_warnings(deployment: Deployment) -> tuple[str, ...]:
    """Return a warning for each part that is valid but probably unintended."""
    return tuple(_find_warnings(deployment))


def diff_documents(before: str, after: str, names: tuple[str, str]) -> str:
    """Return a unified diff of two configuration documents.

    Both are parsed and printed as YAML first, so that a different layout or form
    (JSON in the store) does not show up as a difference.

    Args:
        before: The first document, which may be empty.
        after: The second document, which may be empty.
        names: The names of the two documents in the diff's head.
    """
    lines = difflib.unified_diff(
        _normalise(before).splitlines(),
        _normalise(after).splitlines(),
        *names,
        lineterm="",
    )
    return "\n".join(lines)


def _normalise(document: str) -> str:
    try:
        return dump(parse(document)) if document else ""
    except SettingsError:
        return document


def _compare_groups(old: Group | None, new: Group | None) -> Iterator[Step]:
    yield from _compare("group", old, new, skip=("instances",))
    if old is None or new is None:
        return
    for before, after in _match_by_name(old.instances, new.instances):
        yield from _compare_instances(before, after)


def _compare_instances(old: Instance | None, new: Instance | None) -> Iterator[Step]:
    if old is None or new is None or old.leaving == new.leaving:
        yield from _compare("instance", old, new)
    elif dataclasses.replace(old, leaving=new.leaving) == new:
        effect = _EFFECT_LEAVING if new.leaving else _EFFECT_RETURNING
        details = tuple(_compare_fields(old, new))
        yield Step(f"instance {new.name}", CHANGED, details, effect)
    else:
        yield from _compare("instance", old, new)


def _compare(
    kind: str, old: Any, new: Any, *, skip: tuple[str, ...] = ()
) -> Iterator[Step]:
    present = new if new is not None else old
    subject = f"{kind} {getattr(present, 'name', '')}".strip()
    if old is None or new is None:
        change = ADDED if old is None else REMOVED
        details = (
            (describe_request_class(new),) if isinstance(new, RequestClass) else ()
        )
        yield Step(subject, change, details, _EFFECTS[kind, change])
        return
    details = tuple(_compare_fields(old, new, skip))
    if details:
        yield Step(subject, CHANGED, details, _EFFECTS[kind, CHANGED])


def _compare_fields(old: Any, new: Any, skip: tuple[str, ...] = ()) -> Iterator[str]:
    for field in dataclasses.fields(new):
        before, after = getattr(old, field.name), getattr(new, field.name)
        if field.name not in skip and before != after:
            yield f"{field.name}: {before} -> {after}"


def _match_by_name(
    before: Iterable[Any], after: Iterable[Any]
) -> Iterator[tuple[Any, Any]]:
    """Yield the old and the new item of each name, or None where one is missing."""
    old = {item.name: item for item in before}
    new = {item.name: item for item in after}
    for name in [*old, *(n for n in new if n not in old)]:
        yield old.get(name), new.get(name)


def _find_warnings(deployment: Deployment) -> Iterator[str]:
    for i, group in enumerate(deployment.groups):
        count = len(group.instances)
        path = f"groups.{i}.instances"
        if count < 3 or count % 2 == 0:
            yield (
                f"{path}: group {group.name} has {count} instances; writes need "
                f"{majority(count)} of them, and three or a greater odd number is best"
            )
        if len({instance.data_centre for instance in group.instances}) == 1 < count:
            yield f"{path}: all instances of group {group.name} are in one data centre"
        if all(instance.leaving for instance in group.instances):
            yield f"{path}: every instance of group {group.name} is leaving"
    for i, cls in enumerate(deployment.classes):
        if cls.max_age_s is not None and not cls.idempotent:
            yield f"classes.{i}: {cls.name} has max_age_s, which only reads use"


def describe_request_class(cls: RequestClass) -> str:
    """Return a short description of a request class's settings."""
    phrases = []
    if cls.max_age_s is not None:
        phrases.append(f"reads up to {cls.max_age_s:g} s old")
    if not cls.idempotent:
        phrases.append("at most once")
    if cls.long:
        phrases.append("long")
    phrases.append(f"deadline {cls.deadline_s:g} s")
    phrases.append(f"weight {cls.weight}")
    return ", ".join(phrases)
