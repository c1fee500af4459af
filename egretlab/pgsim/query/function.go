package query

// Type is the object identifier (OID) of a PostgreSQL data type.
type Type uint32

// The data types that members support.
const (
	TypeBool    Type = 16
	TypeInt8    Type = 20
	TypeInt2    Type = 21
	TypeInt4    Type = 23
	TypeText    Type = 25
	TypeFloat8  Type = 701
	TypeUnknown Type = 705
	TypeVarchar Type = 1043
	TypeVoid    Type = 2278
)

// Function is the signature of a function that members provide.
type Function struct {
	// Name is in lower case. It is qualified with the schema unless that is pg_catalog.
	Name string

	// Arguments holds the type of each argument.
	Arguments []Type

	// Platform is true for functions that package plat runs: the control functions in the schema
	// platform, the functions for advisory locks, and pg_terminate_backend. They take no
	// statement slot, and run even while the member refuses statements.
	Platform bool

	// Relation is true for functions that return rows. They are allowed only in SELECT * FROM.
	Relation bool
}

// The names of the functions.
const (
	FunctionStatus           = "platform.status"
	FunctionRequire          = "platform.require"
	FunctionAwait            = "platform.await"
	FunctionFence            = "platform.fence"
	FunctionPromote          = "platform.promote"
	FunctionFollow           = "platform.follow"
	FunctionPosition         = "platform.position"
	FunctionLocks            = "platform.locks"
	FunctionTryAdvisoryLock  = "pg_try_advisory_lock"
	FunctionAdvisoryUnlock   = "pg_advisory_unlock"
	FunctionTerminateBackend = "pg_terminate_backend"
	FunctionSleep            = "pg_sleep"
	FunctionGenerateSeries   = "generate_series"
	FunctionIsInRecovery     = "pg_is_in_recovery"
	FunctionBackendPID       = "pg_backend_pid"
	FunctionVersion          = "version"
	FunctionCurrentDatabase  = "current_database"
)

// FindFunction returns the function with the given name, and whether there is one.
func FindFunction(name string) (*Function, bool) {
	position := []Type{TypeInt8, TypeInt8, TypeInt8}
	switch name {
	case FunctionStatus, FunctionPosition, FunctionLocks:
		return &Function{
			Name:     name,
			Platform: true,
			Relation: true,
		}, true
	case FunctionRequire, FunctionAwait:
		return &Function{
			Name:      name,
			Arguments: position,
			Platform:  true,
			Relation:  true,
		}, true
	case FunctionFence, FunctionPromote:
		return &Function{
			Name:      name,
			Arguments: position[:1],
			Platform:  true,
			Relation:  true,
		}, true
	case FunctionFollow:
		return &Function{
			Name:      name,
			Arguments: []Type{TypeInt8, TypeText},
			Platform:  true,
			Relation:  true,
		}, true
	case FunctionTryAdvisoryLock, FunctionAdvisoryUnlock, FunctionTerminateBackend:
		return &Function{
			Name:      name,
			Arguments: position[:1],
			Platform:  true,
		}, true
	default:
		return findNonPlatformFunction(name)
	}
}

func findNonPlatformFunction(name string) (*Function, bool) {
	switch name {
	case FunctionSleep:
		return &Function{
			Name:      name,
			Arguments: []Type{TypeFloat8},
		}, true
	case FunctionGenerateSeries:
		return &Function{
			Name:      name,
			Arguments: []Type{TypeInt8, TypeInt8},
			Relation:  true,
		}, true
	case FunctionIsInRecovery, FunctionBackendPID, FunctionVersion, FunctionCurrentDatabase:
		return &Function{
			Name: name,
		}, true
	default:
		return nil, false
	}
}
