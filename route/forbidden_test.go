package route

import "testing"

func TestForbiddenNames(t *testing.T) {
	for _, c := range []struct {
		query, want string
	}{
		{query: "SELECT * FROM platform.fence(99)", want: "platform.fence"},
		{query: "select platform . promote(1)", want: "platform."},
		{query: `SELECT * FROM "platform"."fence"(9)`, want: "platform."},
		{query: "SELECT * FROM Platform/* */.fence(9)", want: "platform.fence"},
		{query: `SELECT * FROM U&"plat\0066orm".fence(9)`, want: `u&"plat\0066orm"`},
		{query: "SELECT a, b, c, d, e, f, g, h, i, j, k, l, m, pg_try_advisory_lock(1)", want: "pg_try_advisory_lock"},
		{query: `SELECT pg_catalog."pg_terminate_backend"(1)`, want: "pg_catalog.pg_terminate_backend"},
		{query: "SELECT 1; SELECT pg_catalog.pg_cancel_backend(1)", want: "pg_catalog.pg_cancel_backend"},
		{query: "SELECT platform, 'platform.fence(1)', $$platform.fence(1)$$ FROM t -- platform.fence(1)"},
		{query: "SELECT t.platform, \"platform\" FROM t WHERE platform = .5"},
		{query: "SELECT pg_advisory_xact_lock(1)"},
	} {
		if got := Scan(c.query).ForbiddenName; got != c.want {
			t.Errorf("%s: forbidden %q, want %q", c.query, got, c.want)
		}
	}
}
