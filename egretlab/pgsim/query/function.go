package query

// Type is the object identifier of a type in PostgreSQL.
type Type uint32

// The types that members know.
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

// Function is a function that members offer.
type Function struct {
	// Name is in lower case, with the schema unless it is PostgreSQL's own.
	Name string

	// Arguments holds the type of each argument.
	Arguments []Type

	// Platform says that the function is one of the platform's: it takes no statement slot and
	// goes on while the member refuses statements.
	Platform bool

	// Relation says that the function stands behind SELECT * FROM and nowhere else.
	Relation bool
}

// The names of the functions.
const (
	FunctionStatus     = "platform.status"
	FunctionRequire    = "platform.require"
	FunctionAwait      = "platform.await"
	FunctionFence      = "platform.fence"
	FunctionPromote    = "platform.promote"
	FunctionFollow     = "platform.follow"
	FunctionPosition   = "platform.position"
	FunctionLocks      = "platform.locks"
	FunctionTryLock    = "pg_try_advisory_lock"
	FunctionUnlock     = "pg_advisory_unlock"
	FunctionTerminate  = "pg_terminate_backend"
	FunctionSleep      = "pg_sleep"
	FunctionSeries     = "generate_series"
	FunctionRecovery   = "pg_is_in_recovery"
	FunctionBackendPID = "pg_backend_pid"
	FunctionVersion    = "version"
	FunctionDatabase   = "current_database"
)

// FindFunction returns the function with the name.
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
	case FunctionTryLock, FunctionUnlock, FunctionTerminate:
		return &Function{
			Name:      name,
			Arguments: position[:1],
			Platform:  true,
		}, true
	default:
		return findOrdinary(name)
	}
}

func findOrdinary(name string) (*Function, bool) {
	switch name {
	case FunctionSleep:
		return &Function{
			Name:      name,
			Arguments: []Type{TypeFloat8},
		}, true
	case FunctionSeries:
		return &Function{
			Name:      name,
			Arguments: []Type{TypeInt8, TypeInt8},
			Relation:  true,
		}, true
	case FunctionRecovery, FunctionBackendPID, FunctionVersion, FunctionDatabase:
		return &Function{
			Name: name,
		}, true
	default:
		return nil, false
	}
}
