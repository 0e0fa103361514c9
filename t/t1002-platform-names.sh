#!/bin/sh

test_description='names that the platform defines are used only in platform/ and deploy/'

. "$(dirname "$0")/test-lib.sh"

# Names that only the platform uses.  Words that other code may use in their
# usual sense are left out.
NAMES='X-Limpetflow-|kv-range|kv-watch|kv-key|LIMPETFLOW_NODE_FILE|Listen\.Front|Listen\.Ready|Provider\.Addr|PortRange|TimeoutMs|SloMs|GapAimMs|ApiKeys|MaxConns|HealthPath|ChunkBytes|KvTokens|ColdLeftMs|ColdPerS|AllowedRegions|stage-put|stage-get|"op/|"servers/|/readyz|non_idempotent'

test_expect_success 'no C source outside platform/ contains such a name' '
	(cd "$TOP" && grep -rnE "$NAMES" --include="*.[chx]" . |
		grep -vE "^./(platform|deploy|build|target)/") >found || :
	test_cmp /dev/null found
'

test_expect_success 'platform/ uses neither clocks nor random numbers' '
	(cd "$TOP" && grep -nE "clock_now|random_|apr_time_now" platform/*.c) >found || :
	test_cmp /dev/null found
'

test_done
