from __future__ import annotations

import ast
from typing import TYPE_CHECKING

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hoisthook.configuration.service_spec import OperationSpec
from hoisthook.configuration.service_spec import ServiceSpec
from hoisthook.rpc.spec_codec import spec_from_message
from hoisthook.rpc.spec_codec import spec_to_message
from tool.generate_rpc import PACKAGE
from tool.generate_rpc import generate

if TYPE_CHECKING:
    from pathlib import Path

GENERATED_FILES = ("operator_pb2.py", "operator_grpc.py")


@pytest.mark.parametrize("name", GENERATED_FILES)
def test_committed_code_matches_the_schema(tmp_path: Path, name: str) -> None:
    assert generate(tmp_path) == 0
    committed = ast.dump(ast.parse((PACKAGE / name).read_text()))
    assert ast.dump(ast.parse((tmp_path / name).read_text())) == committed


@given(
    st.builds(
        ServiceSpec,
        st.text("abc", min_size=1),
        st.lists(
            st.builds(OperationSpec, st.sampled_from(["GET", "PUT"]), st.just("/"), st.booleans())
        ).map(tuple),
        st.integers(0, 1000),
        st.integers(0, 9),
        st.integers(0, 9),
        st.integers(-1, 9),
        st.floats(0, 5),
        st.booleans(),
        st.floats(0, 10),
    )
)
def test_specification_round_trips_through_the_message(spec: ServiceSpec) -> None:
    assert spec_from_message(spec_to_message(spec)) == spec
