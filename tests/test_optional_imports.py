"""Recovery and leases run without a disk: their drivers import no module that only [state] needs."""

import subprocess
import sys

CODE = """
import sys
import rookbend.net.leases, rookbend.net.recovery
print([name for name in ("apsw", "rookbend.net.state", "rookbend.state.disk") if name in sys.modules])
"""


def test_the_drivers_of_recovery_and_leases_import_no_database():
    done = subprocess.run([sys.executable, "-c", CODE], capture_output=True, text=True, check=True)
    assert done.stdout == "[]\n"
