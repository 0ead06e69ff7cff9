"""The verdict of tools.run_tests on tests that KNOWN-RED.txt lists."""

from unittest import TestCase, TestResult

from nose2.events import TestOutcomeEvent

from tools.run_tests import Outcomes


class FailingSubtests(TestCase):
    """Not loaded by nose2, since its test has no name of one."""

    def check(self):
        for number in range(3):
            with self.subTest(number=number):
                self.assertEqual(number, 0)


class RelayingResult(TestResult):
    """Hands the outcomes of subtests on as nose2 does."""

    def __init__(self, outcomes: Outcomes):
        super().__init__()
        self._outcomes = outcomes

    def addSubTest(self, test, subtest, err):
        event = TestOutcomeEvent(subtest, self, "subtest", err)
        self._outcomes.testOutcome(event)


class OutcomesTest(TestCase):
    def test_failed_subtests(self):
        """Guards against a listed test that fails in a subtest and passes for another.

        The id of a subtest names its parameters, which KNOWN-RED.txt does not.
        """
        outcomes = Outcomes()
        test = FailingSubtests("check")
        test.run(RelayingResult(outcomes))
        self.assertEqual(outcomes.failed, [test.id()])
