"""`python -m rookbend`: the command line, which runs a director unless it names a sub-command."""

import sys

from rookbend.cli import main

sys.exit(main())
