import expression
import pytest

from fescuestile import results


@pytest.mark.parametrize("value", [None, 0, "text", (1, 2)])
def test_a_result_is_the_same_as_the_librarys(value):
    built = results.succeed(value)
    assert built == expression.Ok(value)
    assert built.is_ok()
    assert not built.is_error()
    assert built.ok == value
    assert repr(built) == repr(expression.Ok(value))
    match built:
        case expression.Result(tag="ok", ok=found):
            assert found == value
        case _:
            pytest.fail("the result does not match its own case")


def test_results_do_not_share_state():
    first = results.succeed(1)
    second = results.succeed(2)
    assert (first.ok, second.ok) == (1, 2)
