"""The README's example runs and prints what the README says."""

import re
from pathlib import Path


def test_example_runs(capsys):
    text = (Path(__file__).parent.parent / "README.md").read_text()
    exec(re.search(r"```python\n(.*?)```", text, re.S).group(1), {})
    printed = capsys.readouterr().out
    assert "Fetch(request=1, server=10" in printed and "source=20" in printed and "SetTimer(" in printed
