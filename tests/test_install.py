"""An installed wheel works outside the checkout: it has all packages, the entry point and the default settings."""

import os
import shutil
import subprocess
import sys
import venv
from pathlib import Path

from rookbend.cli import COMMANDS

REPOSITORY = Path(__file__).parent.parent


def test_an_installed_wheel_runs_from_an_empty_folder(tmp_path):
    environment, empty_folder = tmp_path / "venv", tmp_path / "away"
    empty_folder.mkdir()
    # Only rookbend itself is built and installed. Its dependencies are found through PYTHONPATH: if the tests run in a
    # virtual environment, system_site_packages would not include the packages of that environment.
    venv.create(environment, with_pip=False)
    source = tmp_path / "source"  # a copy, because a build leaves directories beside the sources
    for part in ("rookbend", "deploy"):
        shutil.copytree(REPOSITORY / part, source / part, ignore=shutil.ignore_patterns("__pycache__"))
    shutil.copy(REPOSITORY / "pyproject.toml", source)
    built = subprocess.run(
        [sys.executable, "-m", "pip", "wheel", "-q", "--no-deps", "-w", tmp_path, source],
        text=True,
        capture_output=True,
    )
    assert built.returncode == 0, built.stderr
    subprocess.run(
        [
            sys.executable,
            "-m",
            "pip",
            "--python",
            environment / "bin" / "python",
            "install",
            "-q",
            "--no-deps",
            "--no-index",
            next(tmp_path.glob("*.whl")),
        ],
        check=True,
    )
    libraries = next(p for p in sys.path if p.endswith("site-packages"))
    env = {**os.environ, "PYTHONPATH": libraries}
    run = [environment / "bin" / "rookbend"]
    for command in COMMANDS:
        result = subprocess.run([*run, command, "--help"], cwd=empty_folder, env=env, text=True, capture_output=True)
        assert result.returncode == 0 and "example:" in result.stdout, (command, result.stderr)
    code = (
        "import rookbend, rookbend.testing.invariant_checker, rookbend.config as c\n"
        "assert c.SETTINGS_FILE.exists(), c.SETTINGS_FILE\n"
        "print(rookbend.__file__, c.SETTINGS_FILE)"
    )
    result = subprocess.run(
        [environment / "bin" / "python", "-c", code], cwd=empty_folder, env=env, text=True, capture_output=True
    )
    # Both printed paths are in the new environment.
    assert result.returncode == 0 and result.stdout.count(str(environment)) == 2, result.stdout + result.stderr
