"""Experiments and samples for the tests."""

from bench.experiments import Experiment, Phase, Work
from bench.recording import Outcome, Sample
from bench.schedule import Arrival
from wasabipitch.deployment import Deployment, Group, Instance, RequestClass

LOOKUP = Work("lookup", 3, "SELECT {own}", 10)
PAYMENT = Work("payment", 1, "UPDATE t SET n = {n}", 5, write=True, with_id=True)
REPORT = Work("report", 1, "SELECT count(*) FROM t", 1000, straggler=True)


def make_experiment(**changes):
    fields = {
        "name": "shop",
        "deployment": "shop.yaml",
        "data_centres": ("thonburi",),
        "important": "payment",
        "tables": (),
        "works": (LOOKUP, PAYMENT, REPORT),
        "phases": (
            Phase("calm", 10, 0.5, stragglers=False),
            Phase("crest", 10, 2.0, ramp_s=1.0),
        ),
        "straggler_share": 0.1,
    }
    return Experiment(**{**fields, **changes})


def make_deployment():
    centres = ("thonburi", "bangna", "chatuchak")
    instances = [
        Instance(f"w-{dc}", f"127.0.0.1:{i}", dc) for i, dc in enumerate(centres, 1)
    ]
    return Deployment(
        name="shop",
        groups=(Group("workshop", tuple(instances)),),
        classes=(
            RequestClass("lookup", max_age_s=2.0),
            RequestClass("payment", idempotent=False),
            RequestClass("report", max_age_s=60.0, long=True),
        ),
    )


def make_sample(
    work=LOOKUP, outcome=Outcome.GOOD, at_s=0.0, response_s=0.02, phase=0, group="g"
):
    arrival = Arrival(at_s, phase, group, work)
    return Sample(arrival, outcome, at_s + response_s, response_s, response_s)
