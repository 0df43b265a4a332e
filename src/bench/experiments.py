"""Experiment files, which define the load of a run, and their validation."""

from dataclasses import field
from pathlib import Path
from typing import Annotated

import yaml
from pydantic import ConfigDict, Field, TypeAdapter, ValidationError
from pydantic.dataclasses import dataclass

from wasabipitch import deployment as deployments
from wasabipitch.deployment import Deployment, Group, describe_errors
from wasabipitch.exceptions import SettingsError, WasabipitchError

_STRICT = ConfigDict(extra="forbid")
Positive = Annotated[float, Field(gt=0)]
Share = Annotated[float, Field(ge=0, le=1)]


@dataclass(frozen=True, config=_STRICT)
class Work:
    """One kind of statement that callers send.

    Args:
        name: the name of a request class of the deployment.
        share: the relative weight among the short works, or among the
            stragglers if this is one.
        statement: a template; ``{own}`` is the id of the row that only this
            session writes, ``{n}`` a number that increases within the session.
        work_ms: the time for which the statement occupies a slot of an
            instance. A slot runs one statement at a time.
        write: whether only the primary may run the statement.
        with_id: whether the request carries a request id.
        hint: whether the statement names its class in a comment; without it the
            class is found by the statements that the deployment declares.
        straggler: whether the statement runs many times longer than the others.
        raises: the name of a value in the session's own row that the statement
            sets to ``{n}``.
        reads: the name of such a value that the statement returns in its first
            column; a result below the last value written is a stale read.
    """

    name: str
    share: Positive
    statement: str
    work_ms: Annotated[float, Field(ge=0)]
    write: bool = False
    with_id: bool = False
    hint: bool = True
    straggler: bool = False
    raises: str = ""
    reads: str = ""


@dataclass(frozen=True, config=_STRICT)
class Phase:
    """A phase of the schedule with a constant or ramped load.

    Args:
        name: the name of the phase in the results.
        seconds: the duration.
        load: the arrival rate of short work, as a multiple of the capacity of
            the slots.
        ramp_s: the time over which the rate changes linearly from the previous
            phase's load to this one's.
        stragglers: whether stragglers arrive in addition.
        lose_primary_at_s: the time from the start of the phase at which the
            first group's primary is killed, or None for no kill.
    """

    name: str
    seconds: Positive
    load: Positive
    ramp_s: Annotated[float, Field(ge=0)] = 0.0
    stragglers: bool = True
    lose_primary_at_s: Positive | None = None


@dataclass(frozen=True, config=_STRICT)
class Roaming:
    """How often callers reconnect to another entry before a request.

    Args:
        share: the share of the requests that follow a reconnection.
        with_token: the share of these reconnections that pass on the session's
            token, which lets the new entry see the session's own writes.
    """

    share: Share = 0.0
    with_token: Share = 0.5


@dataclass(frozen=True, config=_STRICT)
class Experiment:
    """The definition of an experiment.

    Args:
        name: the name in the results.
        deployment: the path of the deployment file, relative to this file.
        data_centres: the data centres; each has one host with an entry and a
            pool.
        important: the name of the most important request class.
        tables: the statements that prepare each group; ``{rows}`` is replaced by
            ``(0), (1), ...``, one row for each session of the group.
        works: the kinds of statements that callers send.
        phases: the phases of the schedule in their order.
        straggler_share: the number of stragglers for each arrival of short work.
        connections: the number of caller connections to each group.
        roaming: the share of requests before which the caller reconnects.
        targets: the flags of the target processes, such as ``lag_ms``.
    """

    name: str
    deployment: str
    data_centres: Annotated[tuple[str, ...], Field(min_length=1)]
    important: str
    tables: tuple[str, ...]
    works: Annotated[tuple[Work, ...], Field(min_length=1)]
    phases: Annotated[tuple[Phase, ...], Field(min_length=1)]
    straggler_share: Share = 0.002
    connections: Annotated[int, Field(ge=1, le=2000)] = 200
    roaming: Roaming = field(default_factory=Roaming)
    targets: dict[str, float] = field(default_factory=dict)

    @property
    def short_works(self) -> tuple[Work, ...]:
        """The kinds of work that are not stragglers."""
        return tuple(w for w in self.works if not w.straggler)

    @property
    def stragglers(self) -> tuple[Work, ...]:
        """The kinds of work that are stragglers."""
        return tuple(w for w in self.works if w.straggler)

    @property
    def seconds(self) -> float:
        """The duration of the schedule."""
        return sum(phase.seconds for phase in self.phases)


@dataclass(frozen=True)
class Capacity:
    """The greatest rate of the short work's mix that one group can run.

    Args:
        all_per_s: the limit in arrivals/s by all slots: slots x instances /
            mean work time.
        primary_per_s: the limit by the primary's slots, from the work that only
            the primary may run.
        writes_per_s: the limit by the instance's write lock, which admits one
            write at a time.
    """

    all_per_s: float
    primary_per_s: float
    writes_per_s: float

    @property
    def per_s(self) -> float:
        """The arrivals per second that all limits allow."""
        return min(self.all_per_s, self.primary_per_s, self.writes_per_s)


def load(path: str) -> tuple[Experiment, Deployment]:
    """Load an experiment file and the deployment file that it names.

    Raises:
        SettingsError: if a file is missing or invalid; the message names the
            file and lists every error with its path in the document.
    """
    try:
        document = yaml.safe_load(Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as exc:
        raise SettingsError(f"can't read {path}: {exc}") from exc
    except yaml.YAMLError as exc:
        raise SettingsError(f"{path} is not valid YAML: {exc}") from exc
    try:
        experiment = TypeAdapter(Experiment).validate_python(document)
    except ValidationError as exc:
        raise SettingsError(f"{path}:\n{describe_errors(exc)}") from exc
    file = Path(path).parent / experiment.deployment
    try:
        deployment = deployments.parse(file.read_text(encoding="utf-8"))
    except OSError as exc:
        raise SettingsError(f"can't read {file}: {exc}") from exc
    problems = find_problems(experiment, deployment)
    if problems:
        raise SettingsError(f"{path}:\n" + "\n".join(problems))
    return experiment, deployment


def find_problems(experiment: Experiment, deployment: Deployment) -> list[str]:
    """Return every mismatch of experiment and deployment, as one line each."""
    problems = []
    for i, work in enumerate(experiment.works):
        try:
            cls = deployment.request_class(work.name)
        except WasabipitchError as exc:
            problems.append(f"works.{i}.name: {exc.message}")
            continue
        if work.write and not cls.idempotent and not work.with_id:
            problems.append(f"works.{i}: {work.name} is not idempotent: set with_id")
    if experiment.important not in {w.name for w in experiment.short_works}:
        problems.append(f"important: no short work is named {experiment.important}")
    if any(p.stragglers for p in experiment.phases) and not experiment.stragglers:
        problems.append("works: a phase has stragglers, but no work is one")
    return problems


def compute_capacity(
    experiment: Experiment, deployment: Deployment, group: Group
) -> Capacity:
    """Return the capacity of a group for the mix of short work."""
    works = experiment.short_works
    total = sum(w.share for w in works)
    mean_s = primary_s = write_s = 0.0
    for work in works:
        seconds = work.share / total * work.work_ms / 1000
        mean_s += seconds
        if work.write:
            write_s += seconds
        if deployment.request_class(work.name).max_age_s is None:
            primary_s += seconds
    return Capacity(
        all_per_s=_divide(group.slots * len(group.instances), mean_s),
        primary_per_s=_divide(group.slots, primary_s),
        writes_per_s=_divide(1, write_s),
    )


def _divide(slots: float, seconds: float) -> float:
    return slots / seconds if seconds else float("inf")
