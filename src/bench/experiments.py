"""Experiment files: what load to offer, checked whole."""

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
        name: a request class of the deployment.
        share: its weight among the works of its kind, short or straggling.
        statement: a template; ``{own}`` is a row that only this session
            writes, ``{n}`` a number that grows within the session.
        work_ms: how long it holds a slot of an instance.
        write: whether only the primary may run it.
        with_id: whether it carries a request id.
        hint: whether it names its class; otherwise the deployment declares
            the statement.
        straggler: whether it is one of those that run many times longer.
        raises: the register that it sets to ``{n}``, in the session's own row.
        reads: the register that its first column shows, in that row.
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
    """A stretch of the schedule.

    Args:
        load: arrivals of short work, as a multiple of what the slots carry.
        ramp_s: how long the rate takes from the last phase's to this one's.
        stragglers: whether stragglers arrive on top.
        lose_primary_at_s: when the first group's primary is killed, counted
            from the start of the phase; None: not.
    """

    name: str
    seconds: Positive
    load: Positive
    ramp_s: Annotated[float, Field(ge=0)] = 0.0
    stragglers: bool = True
    lose_primary_at_s: Positive | None = None


@dataclass(frozen=True, config=_STRICT)
class Roaming:
    """Callers that reconnect to another entry before a request.

    Args:
        share: of the requests.
        with_token: of the reconnections, those that bring the session's token.
    """

    share: Share = 0.0
    with_token: Share = 0.5


@dataclass(frozen=True, config=_STRICT)
class Experiment:
    """One experiment.

    Args:
        deployment: the deployment's file, relative to the experiment's.
        data_centres: one host, with an entry and a pool, for each.
        important: the most important class.
        tables: statements that prepare each group; ``{rows}`` is replaced by
            ``(1), (2), ...``, one for each session of the group.
        works: what callers send.
        phases: the schedule.
        straggler_share: stragglers for each arrival of short work.
        connections: caller connections of each group.
        targets: flags of the targets, such as ``lag_ms``.
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
        """The works that are not stragglers."""
        return tuple(w for w in self.works if not w.straggler)

    @property
    def stragglers(self) -> tuple[Work, ...]:
        """The works that run many times longer."""
        return tuple(w for w in self.works if w.straggler)

    @property
    def seconds(self) -> float:
        """How long the schedule lasts."""
        return sum(phase.seconds for phase in self.phases)


@dataclass(frozen=True)
class Capacity:
    """What the slots of one group carry of the short work's mix.

    Args:
        all_per_s: slots x instances / mean work time.
        primary_per_s: the same of the primary's slots, for what only it serves.
        writes_per_s: one write at a time, as an instance's write lock allows.
    """

    all_per_s: float
    primary_per_s: float
    writes_per_s: float

    @property
    def per_s(self) -> float:
        """Arrivals a second that all of the limits allow."""
        return min(self.all_per_s, self.primary_per_s, self.writes_per_s)


def load(path: str) -> tuple[Experiment, Deployment]:
    """Return an experiment and its deployment.

    Raises:
        SettingsError: naming the file, with every error and its path.
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
    """Return what does not fit the deployment, one line for each."""
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
    """Return what the slots of a group carry of the short work's mix."""
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
