"""Hypothesis strategies for the bodies of configuration records."""

from hypothesis import strategies as st

from bulrushflow.configuration import BaseRecord
from bulrushflow.configuration import Configure
from bulrushflow.configuration import ConfigureV2
from bulrushflow.configuration import EnableSchema
from bulrushflow.configuration import FinishRollout
from bulrushflow.configuration import LogRecord
from bulrushflow.configuration import RecordRolloutStep
from bulrushflow.configuration import RouteBody
from bulrushflow.configuration import RouteBodyV2
from bulrushflow.configuration import ServiceBody
from bulrushflow.configuration import StartRollout
from bulrushflow.configuration import WithdrawRollout
from bulrushflow.configuration import encode_record

IDS = st.sampled_from([f"p{i}" for i in range(12)] + ["offset-3"])
OPERATORS = st.sampled_from(["ana", "bojan"])
SERVICES = st.sampled_from(["plots", "payments", "mandates"])
PATHS = st.sampled_from(["/plots", "/payments", "/mandates"])
VERSIONS = st.sampled_from(["v1", "v2", "v3"])
BASES = st.dictionaries(
    st.sampled_from(["service/plots", "route/plots"]), st.integers(-1, 6), max_size=1
)
MADE_AT = st.sampled_from([None, -1, -1, 0, 3, 99])
SERVICE_BODIES = st.dictionaries(SERVICES, st.none() | st.builds(ServiceBody, VERSIONS), max_size=3)

RECORDS: st.SearchStrategy[BaseRecord] = st.one_of(
    st.builds(
        Configure,
        st.sampled_from([1, 1, 1, 2, 3]),
        IDS,
        OPERATORS,
        SERVICE_BODIES,
        st.dictionaries(
            PATHS,
            st.none() | st.builds(RouteBody, SERVICES, st.just(500), st.booleans()),
            max_size=2,
        ),
        BASES,
        made_at=MADE_AT,
    ),
    st.builds(
        ConfigureV2,
        st.sampled_from([2, 2, 3]),
        IDS,
        OPERATORS,
        SERVICE_BODIES,
        st.dictionaries(
            PATHS,
            st.builds(RouteBodyV2, SERVICES, st.just(0.5), st.just(("PUT", "GET"))),
            max_size=2,
        ),
        BASES,
        made_at=MADE_AT,
    ),
    st.builds(EnableSchema, st.just(1), IDS, OPERATORS, st.integers(1, 3)),
    st.builds(StartRollout, st.just(1), IDS, OPERATORS, SERVICES, VERSIONS, st.just(99_999)),
    st.builds(WithdrawRollout, st.just(1), IDS, OPERATORS, IDS),
    st.builds(
        RecordRolloutStep,
        st.just(1),
        IDS,
        IDS,
        st.just(10),
        st.just("r"),
        st.just("e"),
        st.just("n"),
    ),
    st.builds(
        FinishRollout, st.just(1), IDS, IDS, st.booleans(), st.just("r"), st.just("e"), st.just("n")
    ),
)

BODIES: st.SearchStrategy[bytes] = RECORDS.map(encode_record) | st.sampled_from(
    [b"", b"no JSON", b'{"schema":1,"publish_id":"p5","kind":"later"}']
)


def log_records(bodies: list[bytes]) -> list[LogRecord]:
    """Return the bodies as records on the log, from offset 0 on."""
    return [LogRecord(offset, 1000 + offset, body) for offset, body in enumerate(bodies)]


LOGS = st.lists(BODIES, max_size=30).map(log_records)
