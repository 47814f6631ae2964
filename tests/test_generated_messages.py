import unittest

from scripts import messages


class GeneratedMessagesTests(unittest.TestCase):
    def test_the_classes_are_those_of_the_thrift_file(self) -> None:
        # Black's layout differs from the generator's in white space and trailing commas only.
        generated, expected = messages.GENERATED.read_text(encoding="utf-8"), messages.generate()
        self.assertEqual(_tokens(generated), _tokens(expected))


def _tokens(source: str) -> str:
    return "".join(source.split()).replace(",)", ")").replace(",]", "]").replace(",}", "}")
