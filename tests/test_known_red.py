"""Tests of the reader of KNOWN-RED.txt: only the tests in it may fail."""

from tests.known_red import listed_tests


def test_a_line_names_a_test_by_its_full_id():
    red = "tests/a/test_b.py::TestC::test_d | pytest that | late | why | issue 1"
    day = "day x of site y | replay | broken | why | issue 2"
    assert listed_tests([red, day, ""]) == {red.partition(" |")[0]: red}
