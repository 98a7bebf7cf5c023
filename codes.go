package jdaw

import (
	"fmt"
	"net/http"

	"github.com/cockroachdb/errors"
)

// Ran states whether an upstream has run the request.
type Ran string

// Values of Ran.
const (
	NotRun         Ran = "notRun"         // nothing reached an upstream and nothing will
	DidRun         Ran = "ran"            // an upstream ran it
	OutcomeUnknown Ran = "outcomeUnknown" // an upstream may have run it
)

// Retry states whether the caller may retry the request.
type Retry string

// Values of Retry.
const (
	RetryNo         Retry = "no"         // the same request will fail again
	RetryYes        Retry = "yes"        // safe immediately, also at another VM
	RetryLater      Retry = "later"      // safe after the time in Retry-After
	RetryIdempotent Retry = "idempotent" // safe only if the request is idempotent
)

// Code is a numbered result code. The table is in docs/codes.md.
type Code int

// Result codes: 10xx bad input, 11xx authentication, 12xx not allowed, 13xx
// refused for now, 14xx upstream, 15xx idempotency keys, 16xx administration.
const (
	CodeOK Code = 1000

	CodeBrokenJSON       Code = 1001
	CodeBodyTooLarge     Code = 1002
	CodeBodyCut          Code = 1003
	CodeUnknownModel     Code = 1004
	CodeUnknownService   Code = 1005
	CodeUnknownOutlet    Code = 1006
	CodeBadField         Code = 1007
	CodeNoRoute          Code = 1008
	CodeMethodNotAllowed Code = 1009
	CodeHeaderTooLarge   Code = 1010

	CodeNoKey    Code = 1101
	CodeWrongKey Code = 1102

	CodeModelNotAllowed         Code = 1201
	CodeServiceNotAllowed       Code = 1202
	CodeVersionWithdrawn        Code = 1203
	CodeSessionVersionWithdrawn Code = 1204
	CodeBadSession              Code = 1205
	CodeOutletClosed            Code = 1206

	CodeNoConfiguration  Code = 1301
	CodeIsolated         Code = 1302
	CodeDraining         Code = 1303
	CodeJournalFull      Code = 1304
	CodeNoCapacity       Code = 1305
	CodeDeadline         Code = 1306
	CodeNoOwner          Code = 1307
	CodeBehind           Code = 1308
	CodeStoreUnavailable Code = 1309
	CodeDataCentreOut    Code = 1310
	CodeNoUpstream       Code = 1311
	CodeNoCopy           Code = 1312
	CodeNoMemory         Code = 1313
	CodeQuarantined      Code = 1314

	CodeUpstreamFailed     Code = 1401
	CodeUpstreamRefused    Code = 1402
	CodeUpstreamConnection Code = 1403
	CodeStreamBroken       Code = 1404
	CodeOutcomeUnknown     Code = 1405
	CodeUpstreamTimeout    Code = 1406

	CodeKeyReused   Code = 1501
	CodeKeyRunning  Code = 1502
	CodeKeyUnknown  Code = 1503
	CodeKeyHomeDead Code = 1504

	CodeConflict       Code = 1601
	CodeInvalidChange  Code = 1602
	CodeNotAuthorized  Code = 1603
	CodeUnknownObject  Code = 1604
	CodeSuspended      Code = 1605
	CodeChangeNotFound Code = 1606

	CodeInternal Code = 1901
)

// CodeInfo is one row of the table of result codes.
type CodeInfo struct {
	Code    Code
	Name    string
	Status  int // HTTP status
	Ran     Ran
	Retry   Retry
	Meaning string
}

var codeTable = []CodeInfo{
	{CodeOK, "ok", http.StatusOK, DidRun, RetryNo, "The request was answered."},
	{CodeBrokenJSON, "brokenJSON", http.StatusBadRequest, NotRun, RetryNo, "The body is not valid JSON."},
	{CodeBodyTooLarge, "bodyTooLarge", http.StatusRequestEntityTooLarge, NotRun, RetryNo, "The body is larger than the limit in the settings."},
	{CodeBodyCut, "bodyCut", http.StatusBadRequest, NotRun, RetryYes, "The connection ended before the whole body arrived."},
	{CodeUnknownModel, "unknownModel", http.StatusNotFound, NotRun, RetryNo, "No model, version or cascade has this name."},
	{CodeUnknownService, "unknownService", http.StatusNotFound, NotRun, RetryNo, "No plain service has this name."},
	{CodeUnknownOutlet, "unknownOutlet", http.StatusBadRequest, NotRun, RetryNo, "The workspace has no outlet of this name."},
	{CodeBadField, "badField", http.StatusBadRequest, NotRun, RetryNo, "A field has a value that is out of range or of the wrong type."},
	{CodeNoRoute, "noRoute", http.StatusNotFound, NotRun, RetryNo, "The path is not part of the API."},
	{CodeMethodNotAllowed, "methodNotAllowed", http.StatusMethodNotAllowed, NotRun, RetryNo, "The path does not support this method."},
	{CodeHeaderTooLarge, "headerTooLarge", http.StatusRequestHeaderFieldsTooLarge, NotRun, RetryNo, "The header is larger than the limit in the configuration."},
	{CodeNoKey, "noKey", http.StatusUnauthorized, NotRun, RetryNo, "The Authorization header is missing."},
	{CodeWrongKey, "wrongKey", http.StatusUnauthorized, NotRun, RetryNo, "The key belongs to no workspace."},
	{CodeModelNotAllowed, "modelNotAllowed", http.StatusForbidden, NotRun, RetryNo, "The workspace may not use this model or version."},
	{CodeServiceNotAllowed, "serviceNotAllowed", http.StatusForbidden, NotRun, RetryNo, "The workspace may not use this service."},
	{CodeVersionWithdrawn, "versionWithdrawn", http.StatusGone, NotRun, RetryNo, "The version has been withdrawn."},
	{CodeSessionVersionWithdrawn, "sessionVersionWithdrawn", http.StatusGone, NotRun, RetryNo, "The version that the session is pinned to has been withdrawn."},
	{CodeBadSession, "badSession", http.StatusBadRequest, NotRun, RetryNo, "The session token is malformed, expired or of another workspace."},
	{CodeOutletClosed, "outletClosed", http.StatusForbidden, NotRun, RetryLater, "The outlet is closed at this hour."},
	{CodeNoConfiguration, "noConfiguration", http.StatusServiceUnavailable, NotRun, RetryLater, "The VM has no configuration yet."},
	{CodeIsolated, "isolated", http.StatusServiceUnavailable, NotRun, RetryYes, "The VM reaches no other VM; another VM may serve."},
	{CodeDraining, "draining", http.StatusServiceUnavailable, NotRun, RetryYes, "The VM is shutting down; another VM serves."},
	{CodeJournalFull, "journalFull", http.StatusServiceUnavailable, NotRun, RetryLater, "The buffer of unrecorded requests is full during an outage of the key-value service."},
	{CodeNoCapacity, "noCapacity", http.StatusTooManyRequests, NotRun, RetryLater, "No upstream has capacity within the deadline."},
	{CodeDeadline, "deadline", http.StatusGatewayTimeout, NotRun, RetryYes, "The deadline passed before an upstream was found."},
	{CodeNoOwner, "noOwner", http.StatusServiceUnavailable, NotRun, RetryLater, "The pool is changing its owner."},
	{CodeBehind, "behind", http.StatusServiceUnavailable, NotRun, RetryYes, "The VM's configuration is older than the pool owner's."},
	{CodeStoreUnavailable, "storeUnavailable", http.StatusServiceUnavailable, NotRun, RetryLater, "The key-value service is needed and does not answer."},
	{CodeDataCentreOut, "dataCentreOut", http.StatusServiceUnavailable, NotRun, RetryYes, "The VM's data centre has been taken out; a VM of another data centre serves."},
	{CodeNoUpstream, "noUpstream", http.StatusServiceUnavailable, NotRun, RetryLater, "No upstream in service offers an allowed version."},
	{CodeNoCopy, "noCopy", http.StatusServiceUnavailable, NotRun, RetryYes, "No other VM could take a copy of the request's record."},
	{CodeNoMemory, "noMemory", http.StatusServiceUnavailable, NotRun, RetryYes, "The VM holds too many bodies to read another one; another VM may serve."},
	{CodeQuarantined, "quarantined", http.StatusServiceUnavailable, NotRun, RetryLater, "A part of the prompt crashes upstreams and is kept from them for a time."},
	{CodeUpstreamFailed, "upstreamFailed", http.StatusBadGateway, DidRun, RetryIdempotent, "The upstream ran the request and failed."},
	{CodeUpstreamRefused, "upstreamRefused", http.StatusServiceUnavailable, NotRun, RetryLater, "Every upstream that was tried refused the request without running it."},
	{CodeUpstreamConnection, "upstreamConnection", http.StatusBadGateway, NotRun, RetryYes, "No connection to the upstream could be made."},
	{CodeStreamBroken, "streamBroken", http.StatusBadGateway, DidRun, RetryIdempotent, "The stream ended early and could not be resumed."},
	{CodeOutcomeUnknown, "outcomeUnknown", http.StatusBadGateway, OutcomeUnknown, RetryIdempotent, "The request may have run; its outcome is not known."},
	{CodeUpstreamTimeout, "upstreamTimeout", http.StatusGatewayTimeout, OutcomeUnknown, RetryIdempotent, "The upstream did not answer within the deadline."},
	{CodeKeyReused, "keyReused", http.StatusUnprocessableEntity, NotRun, RetryNo, "The idempotency key was used with another request body."},
	{CodeKeyRunning, "keyRunning", http.StatusConflict, OutcomeUnknown, RetryLater, "A request with this idempotency key is still running."},
	{CodeKeyUnknown, "keyUnknown", http.StatusBadRequest, NotRun, RetryNo, "The idempotency key was not issued by this system or its signature is wrong."},
	{CodeKeyHomeDead, "keyHomeDead", http.StatusBadGateway, OutcomeUnknown, RetryNo, "The VM that issued the key is gone; whether the request ran is not known."},
	{CodeConflict, "conflict", http.StatusConflict, NotRun, RetryNo, "Another change was accepted first and touches the same object."},
	{CodeInvalidChange, "invalidChange", http.StatusUnprocessableEntity, NotRun, RetryNo, "The changed configuration would be invalid."},
	{CodeNotAuthorized, "notAuthorized", http.StatusForbidden, NotRun, RetryNo, "The operator's role does not permit this."},
	{CodeUnknownObject, "unknownObject", http.StatusNotFound, NotRun, RetryNo, "No object has this name."},
	{CodeSuspended, "suspended", http.StatusAccepted, DidRun, RetryNo, "The key-value service is down; the object is suspended by the VMs and the change follows."},
	{CodeChangeNotFound, "changeNotFound", http.StatusNotFound, NotRun, RetryYes, "The change is not in the configuration."},
	{CodeInternal, "internal", http.StatusInternalServerError, OutcomeUnknown, RetryIdempotent, "A fault in the router."},
}

var codeIndex = func() map[Code]CodeInfo {
	index := make(map[Code]CodeInfo, len(codeTable))
	for _, info := range codeTable {
		index[info.Code] = info
	}
	return index
}()

// Codes returns the table of result codes in order.
func Codes() []CodeInfo { return append([]CodeInfo(nil), codeTable...) }

// Info returns the row of the code, or that of CodeInternal for an unknown code.
func (c Code) Info() CodeInfo {
	if info, ok := codeIndex[c]; ok {
		return info
	}
	return codeIndex[CodeInternal]
}

// String returns the name of the code.
func (c Code) String() string { return c.Info().Name }

// maxCauseText limits the text of a cause in bytes. It may quote what an upstream sent.
const maxCauseText = 256

// CodeError is an error with a result code and a message for the caller.
type CodeError struct {
	Code    Code
	Message string
	// Cause, if set, is for the log only.
	Cause error
	// RetryAfterSeconds is the value of the Retry-After header; 0 leaves it out.
	RetryAfterSeconds int
}

// Error implements error.
func (e *CodeError) Error() string {
	return fmt.Sprintf("%s (%d): %s", e.Code, int(e.Code), e.Detail())
}

// Detail returns the message with the cause.
func (e *CodeError) Detail() string {
	if e.Cause == nil {
		return e.Message
	}
	text := e.Cause.Error()
	return e.Message + ": " + text[:min(len(text), maxCauseText)]
}

// WithCause returns a copy with a cause.
func (e *CodeError) WithCause(cause error) *CodeError {
	c := *e
	c.Cause = cause
	return &c
}

// WithRetryAfter returns a copy with a Retry-After of the given seconds.
func (e *CodeError) WithRetryAfter(seconds int) *CodeError {
	c := *e
	c.RetryAfterSeconds = seconds
	return &c
}

// Fail returns an error with a result code.
func Fail(code Code, format string, args ...any) *CodeError {
	return &CodeError{Code: code, Message: fmt.Sprintf(format, args...)}
}

// CodeOf returns the coded error in err's chain. An error without a code
// becomes CodeInternal.
func CodeOf(err error) *CodeError {
	if err == nil {
		return nil
	}
	var coded *CodeError
	if errors.As(err, &coded) {
		return coded
	}
	return &CodeError{Code: CodeInternal, Message: err.Error()}
}
