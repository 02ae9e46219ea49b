"""How start values are parsed, and which are refused."""

from pathlib import Path
from typing import Any, cast

import pytest

from pumicenotch import start
from tests.net.parties import SETTINGS, Program


def test_the_feedback_shape_follows_from_the_settings_and_invalid_callers_are_refused() -> None:
    share_settings = {
        "family-info.signal": "bias",
        "family-info.callers": "6",
        "classes.count": "1",
        "classes.0.effect": "by_key",
        "classes.0.memory-span": "9000000",
        "classes.0.deadline": "9000000",
    }
    credit_settings = {
        "family-info.signal": "tokens",
        "family-info.callers": "180",
        "classes.count": "1",
        "classes.0.effect": "once",
        "classes.0.deadline": "11000000",
    }
    assert (
        start.feedback_shape(share_settings) == "share"
        and start.feedback_shape(credit_settings) == "credit"
    )
    assert start.feedback_shape({}) == "share"  # the default, without load values
    with pytest.raises(start.InvalidStartValueError, match=r"family-info\.callers is missing"):
        start.controller_settings(
            {key: text for key, text in credit_settings.items() if key != "family-info.callers"}
        )
    assert (
        start.feedback_shape(credit_settings | {"classes.0.memory-span": "26595000"}) == "credit"
    )  # as text, like all start values
    with pytest.raises(start.InvalidStartValueError, match=r"family-info\.callers=-1"):
        start.controller_settings(share_settings | {"family-info.callers": "-1"})


def test_the_server_refuses_tokens_without_the_number_of_callers_and_starts_with_it(
    tmp_path: Path,
) -> None:
    """Runs a server against the peers of tests/net/parties.py. Without the number of callers the
    start fails and names the key; with it the server logs the feedback shape.
    """
    family_info: dict[str, Any] = {
        **cast(dict[str, Any], SETTINGS["family-info"]),
        "signal": "tokens",
    }
    incomplete = SETTINGS | {"family-info": family_info}
    refused = pytest.raises(AssertionError, match=r"family-info\.callers is missing")
    with refused, Program(tmp_path, settings=incomplete):
        pass
    with Program(
        tmp_path, settings=SETTINGS | {"family-info": family_info | {"callers": 180}}
    ) as program:
        assert program.wait_for_log(r"callers are told a (\w+)") == "credit"


def test_a_value_out_of_range_is_refused_by_its_path_with_the_range() -> None:
    with pytest.raises(
        start.InvalidStartValueError,
        match=r"family-info\.cores=0: out of range; give a value from 1",
    ):
        start.controller_settings({"family-info.cores": "0"})
    with pytest.raises(start.InvalidStartValueError, match=r"rules\.cold-share=1\.5: out of range"):
        start.controller_settings({"rules.cold-share": "1.5"})
    assert (
        start.controller_settings({"family-info.cores": "2", "rules.cold-share": "0.21"}).cores == 2
    )


def test_readiness_comes_from_the_settings_and_is_off_without_them() -> None:
    assert start.controller_settings({"family-info.readiness": "true"}).listed_by_health is True
    assert start.controller_settings({}).listed_by_health is False
