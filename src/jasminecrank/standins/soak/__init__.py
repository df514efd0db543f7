"""Fault soak: runs nodes as processes and injects faults from outside."""

from jasminecrank.standins.soak._plan import Fault as Fault
from jasminecrank.standins.soak._plan import make_plan as make_plan
from jasminecrank.standins.soak._run import Soak as Soak
from jasminecrank.standins.soak._run import SoakResult as SoakResult
