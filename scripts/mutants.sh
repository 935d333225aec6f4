#!/usr/bin/env bash
# Takes one mechanism at a time out of a copy of the tree and checks that the
# test which proves it then fails. Prints a line each; fails if a test survives.
set -uo pipefail
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
survivors=0

# mutant NAME FILE SED-EXPRESSION PACKAGE TEST-FLAGS...
mutant() {
  local name=$1 file=$2 edit=$3 package=$4
  shift 4
  [[ "$name" =~ ${ONLY:-.} ]] || return 0
  rm -rf "$copy/tree"
  mkdir "$copy/tree"
  git ls-files -z | xargs -0 cp --parents -t "$copy/tree"
  sed -i "$edit" "$copy/tree/$file"
  if cmp -s "$file" "$copy/tree/$file"; then
    echo "NO MUTANT  $name: the expression matches nothing"
    survivors=$((survivors + 1))
  elif ! (cd "$copy/tree" && go vet "$package" > /dev/null 2>&1); then
    echo "NO MUTANT  $name: does not compile"
    survivors=$((survivors + 1))
  elif (cd "$copy/tree" && go test -count=1 -timeout 180s "$package" "$@" > "$copy/log" 2>&1); then
    echo "SURVIVED   $name"
    survivors=$((survivors + 1))
  else
    echo "killed     $name"
  fi
}

mutant "floor" internal/system/rotation/rotation.go 's/if p.inRotation <= minimum {/if false {/' ./internal/system/rotation
mutant "floor of non-idempotent" internal/system/rotation/rotation.go 's/idempotentOnly \&\& p.open > max(p.floor, 1)/idempotentOnly/' ./internal/system/rotation
mutant "own answer" internal/dispatch/result.go 's/return echo == x.req.ID/return echo != ""/' ./e2e -ginkgo.focus "another request's ID"
mutant "abort of a short answer" internal/dispatch/response.go '0,/panic(http.ErrAbortHandler)/s//return/' ./e2e -ginkgo.focus "cut short|cannot be continued"
mutant "resumed download" internal/dispatch/response.go 's/if !c.resumable {/if true {/' ./e2e -ginkgo.focus "continues a download"
mutant "connection kept after the end" internal/dispatch/response.go 's/return c.response.Body.Close()/c.response.Discard(); return nil/' ./e2e -ginkgo.focus "share them"
mutant "written is unknown" internal/upstream/upstream.go 's/f.Written = conn != nil .*/f.Written = false/' ./e2e -ginkgo.focus "told as unknown"
mutant "write accepted in part" internal/upstream/conn.go 's/if n == 0 \&\& err != nil {/if err != nil {/' ./internal/upstream -run CountsAsUnwritten
mutant "write accepted not at all" internal/upstream/conn.go 's/if n == 0 \&\& err != nil {/if false {/' ./internal/upstream -run CountsAsUnwritten
mutant "written request read by the server" internal/upstream/upstream.go 's/f.Written = conn != nil .*/f.Written = false/' ./internal/upstream -run UnwrittenRequestIsNeverRead
mutant "no hidden resend" internal/upstream/upstream.go 's/return emptyBody{}/return nil/' ./internal/upstream
mutant "limit of a head" internal/upstream/upstream.go 's/conn.headLimit.Store(a.maxHeadBytes)/conn.headLimit.Store(0)/' ./internal/upstream -run EndlessHead -timeout 20s
mutant "limit of a head of the store" internal/upstream/head.go 's/, MaxResponseHeaderBytes: maxHeadBytes//' ./platform -run EndlessResponsesOfStore
mutant "end of a body whose request is not written" internal/upstream/body.go 's/if !endsWithConnection(b.response) {/if true {/' ./internal/upstream -run ResetDuringUpload
mutant "status of a response" internal/upstream/head.go 's/response.StatusCode < minStatus/false/' ./internal/upstream -run InvalidHead
mutant "field names of a response" internal/upstream/head.go 's/!httpguts.ValidHeaderFieldName(name)/false/' ./internal/upstream -run InvalidHead
mutant "transfer coding of HTTP/1.0" internal/upstream/conn.go 's/if c.head.hasTransferCoding() {/if false {/' ./internal/upstream -run InvalidHead
mutant "field names of a trailer" internal/upstream/body.go 's/if err := checkFields(b.response.Trailer); err != nil {/if err := checkFields(b.response.Trailer); false {/' ./internal/upstream -run InvalidTrailer
mutant "votes of a restarted watcher" internal/system/detection/detection.go 's/s.resumeVotes(w, now, svc)/_ = 0/' ./internal/system/detection -run VoteWithoutMajority
mutant "hold-off of a resumed vote" internal/system/detection/vote.go 's/d.ProbeAt = castAt.Add(holdOff(vote.Relapses))/d.ProbeAt = now/' ./internal/system/detection -run RestartedWatcherEndsItsVote
mutant "length of an event" internal/event/event.go 's/len(detail) > maxDetailBytes/false/' ./internal/event -run DetailsAreLimited
mutant "request IDs that voters keep" internal/claims/coordinator.go 's/requestID\[:min(len(requestID), maxRequestIDBytes)\]/requestID/' ./internal/claims -run LongRequestIDs
mutant "wait of a watch" internal/platform/platform.go 's/WatchWait = 2 /WatchWait = 3 /' ./internal/platform -run SilentWatch
mutant "charge of a head" internal/clientlimit/conn.go 's/return c.chargeHead(head, len(p))/return head != nil/' ./internal/clientlimit -run HeadIsCharged -timeout 20s
mutant "bytes read beside a handler" internal/clientlimit/conn.go 's/if head.ended \&\& !c.abandoned \&\& !c.closed {/if false {/' ./internal/clientlimit -run BesideAHandler
mutant "refusal within a response" internal/clientlimit/conn.go 's/if c.responding || c.serving > 0/if c.serving > 0/' ./internal/clientlimit -run BeforeItsResponse
mutant "receive buffers by memory" internal/clientlimit/shares.go 's/if float64(s.sockets()) > most {/if false {/' ./internal/clientlimit -run ReceiveBuffersFit
mutant "connections that wait to be accepted" internal/clientlimit/socket.go 's/unix.Listen(fd, backlogOf(maxConns))/error(nil)/' ./internal/clientlimit -run BacklogIsLimited
mutant "connections despite little memory" internal/clientlimit/shares.go 's/max(min(s.Callers, minClients), /max(1, /' ./internal/clientlimit -run LittleMemory
mutant "receive buffer of a listener" internal/clientlimit/socket.go 's/unix.SO_RCVBUF, bytes/unix.SO_RCVBUF, 1<<20/' ./internal/clientlimit -run HaveLimitedBuffers
mutant "memory of claims" internal/claims/table.go 's/\&\& t.bytes+bytes <= t.maxBytes//' ./internal/claims -run FitTheMemory
mutant "memory of releases" internal/claims/table.go 's/|| t.bytes+size > t.maxBytes//' ./internal/claims -run FitTheMemory
mutant "memory of expired claims" internal/claims/table.go 's/t.bytes -= held.bytes(key)/t.bytes -= 0 * held.bytes(key)/' ./internal/claims -run FitTheMemory
mutant "memory of expired releases" internal/claims/table.go 's/t.bytes -= entryOverhead + len(id)//' ./internal/claims -run FitTheMemory
mutant "sweep of a full table" internal/claims/table.go 's/now.Sub(t.sweptAt) >= fullSweepInterval/false/' ./internal/claims -run FullTable
mutant "cut-off response over HTTP/1.0" internal/clientlimit/http10.go 's/if !c.http10 ||/if true ||/' ./internal/clientlimit -run HTTP10 -timeout 20s
mutant "cut-off response over HTTP/1.0 and TLS" internal/clientlimit/conn.go 's/if c.cutOff.Load() {/if false {/' ./internal/clientlimit -run HTTP10 -timeout 20s
mutant "complete response over HTTP/1.0" internal/clientlimit/http10.go 's/c.unfinished = false/c.unfinished = true/' ./internal/clientlimit -run HTTP10 -timeout 20s
mutant "unread responses" internal/clientlimit/listener.go 's/ok \&\& since.Before(oldest)/false \&\& ok \&\& since.Before(oldest)/' ./internal/clientlimit -run MakesRoom -timeout 20s
mutant "unread streams" internal/clientlimit/conn.go 's/if c.http2 {$/if false {/' ./internal/clientlimit -run UnreadStream -timeout 20s
mutant "young unread responses" internal/clientlimit/listener.go 's/now.Add(-responseGrace)/now/' ./internal/clientlimit -run MakesRoom -timeout 20s
mutant "oldest unread response" internal/clientlimit/listener.go 's/victim, oldest = c, since/return c/' ./internal/clientlimit -run OldestUnread -timeout 20s -count=5
mutant "unsent bytes of accepted connections" internal/clientlimit/socket.go 's/conf.SetMultipathTCP(false)/conf.SetMultipathTCP(true)/' ./internal/clientlimit -run HaveLimitedBuffers
mutant "unsent bytes" internal/clientlimit/socket.go 's/unix.TCP_NOTSENT_LOWAT, bytes/unix.TCP_NOTSENT_LOWAT, 1<<30/' ./internal/clientlimit -run HaveLimitedBuffers
mutant "receive buffers of connections to servers" internal/clientlimit/dial.go 's/b.bytes\/dialDivisor\/b.open/b.bytes\/dialDivisor/' ./internal/clientlimit -run DialBuffersFit
mutant "connections to servers that are closed twice" internal/clientlimit/dial.go 's/c.closed.Do(c.buffers.remove)/c.buffers.remove()/' ./internal/clientlimit -run CountedOnce
mutant "charge of a pipelined head" internal/clientlimit/conn.go 's/rest := min(c.received-c.accounted-lineOverhead, readBufferBytes)/rest := 0/' ./internal/clientlimit -run Pipelined -timeout 20s
mutant "charge of a trailer" internal/clientlimit/handler.go 's/!errors.Is(err, io.EOF) || b.ended/true/' ./internal/clientlimit -run 'ChargedWhile|Trailer'
mutant "request whose refusal was sent" internal/clientlimit/handler.go 's/if c.abandoned {/if false {/' ./internal/clientlimit -run GivenUpRequest
mutant "room beside large requests" internal/clientlimit/limiter.go 's/large := in.charged+n > ordinaryRequestBytes/large := in.charged+n < 0/' ./internal/clientlimit -run LargeRequests -timeout 20s
mutant "time for a body" internal/clientlimit/limiter.go 's/now.Sub(body.since) < bodyGrace/false/' ./internal/clientlimit -run OldestBody -timeout 20s
mutant "connections of a listener" internal/clientlimit/listener.go 's/if l.open < l.max {/if true {/' ./internal/clientlimit -run OldestConnection -timeout 20s
mutant "reason of a cut head" internal/upstream/upstream.go 's/conn.received.Load() >= t.maxHeadBytes/false/' ./internal/upstream -run EndlessHead
mutant "time to drain a body" internal/upstream/upstream.go 's/^	limit := time.AfterFunc(maxDrainTime, a.abandon)$/	limit := time.AfterFunc(time.Hour, a.abandon)/' ./internal/upstream -run UnwantedBodyWithoutEnd
mutant "a request does not wait for draining" internal/upstream/upstream.go 's/^	case <-wait.C:$/	case <-(chan int)(nil):/' ./internal/upstream -timeout 20s -run WaitForUnwantedBody
mutant "health check without end" internal/daemon/effects.go 's/if length > maxProbeBodyBytes {/if length > maxProbeBodyBytes \&\& false {/' ./internal/daemon -run EndlessResponseFails
mutant "deadline of a streamed response" internal/dispatch/hedge.go 's/defer p.detach() .*/p.detach()/' ./platform -run EndlessBodyIsNoSuccess
mutant "switch of protocols" internal/dispatch/result.go 's/if response.StatusCode < http.StatusOK {/if false {/' ./platform -run 'EndlessBodyIsNoSuccess/protocol'
mutant "last look at the write" internal/upstream/conn.go 's/if err := guard(); err != nil {/if err := guard(); err != nil \&\& false {/' ./internal/upstream
mutant "last look of a frozen host" internal/dispatch/send.go 's/if !x.d.snapshot().Fresh(now, /if false \&\& !x.d.snapshot().Fresh(now, /' ./e2e -ginkgo.focus "freezes between"
mutant "stale view of a paused host" internal/dispatch/send.go 's/if x.req.Idempotent \&\& to.server.ID == "" {/if x.req.Idempotent {/' ./platform -run PausedHostSends
mutant "requests held while stale" internal/dispatch/exchange.go 's/if refusal := x.awaitFresh(ctx); refusal != nil {/if refusal := x.awaitFresh(ctx); false {/' ./platform -run PausedHostRefusesWithAShortRetryAfter
mutant "confirmation after a pause" internal/engine/freshness.go 's/^	case e.isConfirmed():/	case f.attempts > 1:/' ./internal/engine -run DuringAPause
mutant "listed documents after a pause" internal/engine/freshness.go 's/return len(configsync.Wanted(e.world)) == 0/return true/' ./internal/engine -run ListedDocuments
mutant "confirmation for this pause" internal/engine/freshness.go 's/ || !e.freshness.pauseEndedAt.Equal(question.ConfirmFor) {/ {/' ./internal/engine -run DuringAPause
mutant "confirmation by a paused host" internal/engine/inputs.go 's/if e.isStale() \&\& err == nil {/if false {/' ./internal/engine -run ConfirmTheListOfAnother
mutant "confirmation before the first tick" internal/engine/loop.go 's/if pause, _ := e.pauseSince(now); pause > e.conf.Freshness {/if false {/' ./internal/engine -run ConfirmTheListOfAnother
mutant "configuration after a pause" internal/engine/freshness.go 's/if !answered || e.world.Document(key).Needs(revision) {/if answered \&\& e.world.Document(key).Needs(revision) {/' ./internal/engine -run AgesTheConfiguration
mutant "empty answer confirms nothing" internal/system/configsync/answer.go 's/ \&\& resp.Revision > 0 \&\& / \&\& /' ./internal/engine -run EmptyAnswer
mutant "claims" internal/dispatch/exchange.go 's/if x.req.Idempotent || x.req.Key == "" {/if true {/' ./e2e -ginkgo.focus "same key comes through|repeated through"
mutant "identity of a claim" internal/claims/coordinator.go 's|id:          requestID + "/" + ulid.Make().String(),|id: requestID + ulid.ULID{}.String(),|' ./internal/claims
mutant "quorum of claims" internal/claims/coordinator.go 's/		return 4$/		return 2/' ./internal/claims
mutant "young hosts abstain" internal/claims/table.go 's/now.Sub(t.startedAt) < t.horizon/false/' ./internal/claims
mutant "revision only grows" internal/system/configsync/apply.go 's/if revision < doc.Revision || revision == doc.Revision \&\& !doc.Incomplete {/if revision == doc.Revision {/' ./internal/system/configsync
mutant "new host asks peers" internal/engine/engine.go 's/\&\& configsync.UpToDate(e.world)/\&\& (e.world.Index != nil || configsync.UpToDate(e.world))/' ./internal/engine
mutant "bad document refused" internal/config/config.go 's/decoder.KnownFields(true)/decoder.KnownFields(false)/' ./e2e -ginkgo.focus "bad document"
mutant "limit of a translated configuration" internal/config/config.go 's/MaxDocumentBytes = 16 << 20/MaxDocumentBytes = 1 << 20/' ./platform -run 'LargestConfigurations|AtStoreLimit'
mutant "document of a peer beyond the limit" internal/system/configsync/answer.go 's/if len(raw) > config.MaxDocumentBytes {/if false {/' ./internal/system/configsync -run LargestDocument
mutant "own pause is no outage" platform/runningtime.go 's/min(max(now.Sub(r.last), 0), maxRunningStep)/max(now.Sub(r.last), 0)/' ./platform -run OwnPause
mutant "grace in any list after an outage" platform/mirror.go 's/^	m.source.outages.recordResponse(m.source.now())$//' ./platform -run AnyListAfterOutage
mutant "watch with too many changes" platform/mirror.go 's/if errors.Is(err, errResponseTooLarge) {/if false {/' ./platform -run TooLargeWatch
mutant "drain" internal/system/rotation/rotation.go 's/^	p.removeDrained()$//' ./e2e -ginkgo.focus "operator's drain"
mutant "a server's report at the pick" internal/policy/copies.go 's/ \&\& r.isAvailable(b)$//' ./internal/policy -run ServersThatTake
mutant "one request after a rest" internal/policy/availability.go 's/return t.has(MechanismReturnOneByOne) \&\& .*/return false/' ./internal/policy -run ReturnsWithOne
mutant "a server's report at an owner's pick" internal/slots/pool.go 's/return req.Available == nil || req.Available(b)/return true/' ./internal/slots
mutant "a server's report at the first byte" internal/dispatch/send.go 's/if err := x.checkServer(to); err != nil {/if err := x.checkServer(to); err != nil \&\& false {/' ./platform -run UpToTheFirstByte
mutant "rotation at the first byte" internal/dispatch/serverstate.go 's/if view == to.view || view == nil || view.Backend(to.server.ID) != nil {/if view == nil || len(view.Backends) >= 0 {/' ./platform -run UpToTheFirstByte
mutant "whose report" internal/dispatch/serverstate.go 's/return !x.isMisdirected(response) \&\& .*/return !x.isMisdirected(response)/' ./platform -run WhoseReport
mutant "identity before a rejection" internal/dispatch/roundtrip.go 's/case !x.isForThisRequest(response, to.view):/case false:/' ./platform -run LateRejection
mutant "identity of a response without an ID" internal/dispatch/result.go 's/return !response.Reused || view/return view == nil || view/' ./internal/dispatch -run CountsOnlyForItsRequest
mutant "identity before a decline" internal/dispatch/forward.go '/^	if !x.isForThisRequest(response, nil) {$/,/^	}$/d' ./internal/dispatch -run LateDecline
mutant "identity of a resumed download" internal/dispatch/forward.go 's/if x.isForThisRequest(response, nil) {/if true {/' ./internal/dispatch -run ResumeByAnother
mutant "rejection of an earlier send" internal/dispatch/result.go 's/x.answeredOn = append.*//' ./internal/dispatch -run RejectedRequestAvoids
mutant "connection that carried the request" internal/upstream/upstream.go 's/\tconn.seal()$/\t_ = conn/' ./platform -run RejectionRepeatedForNextSend
mutant "paused upload" internal/dispatch/exchange.go 's/^\t\tx.req.interruptBody()$//' ./platform -run CallerThatPauses
mutant "interrupt without a read" internal/frontend/idle.go 's/if r.reading {/if true {/' ./platform -run ConnectionIsKeptAfterDeadline
mutant "wait for a removed service" internal/dispatch/wait.go 's/view = noServers(view)/_ = noServers/' ./internal/dispatch -run RemovedService
mutant "send to a removed service" internal/dispatch/serverstate.go 's/if configured \&\& (view/if !configured || (view/' ./internal/dispatch -run RemovedService
mutant "kind of a changed route" internal/dispatch/standing.go 's/routed \&\& !match.Idempotent/routed \&\& match.Idempotent/' ./platform -run NotRepeatedOnce
mutant "document in a full inbox" internal/daemon/effects.go 's/return d.engine.Deliver(d.ctx, \(.*\))$/d.engine.Post(\1); return nil/' ./platform -run WhileControlLoopIsBusy
mutant "a report of an older process" internal/process/process.go 's/return s.Started > other.Started .*/return false/' ./internal/availability
mutant "leaving holds" internal/availability/availability.go 's/case !s.LeavingSince.IsZero():/case now.Sub(s.LeavingSince) < time.Minute:/' ./internal/availability
mutant "the later end of two rests" internal/availability/availability.go 's/ \&\& until.After(state.RestUntil)//' ./internal/availability
mutant "stop grace" internal/daemon/stop.go 's/^	wait(ctx, d.settings.Timing.ServingGrace())$//' ./e2e -ginkgo.focus "kept connections"
mutant "time before the kill" internal/settings/settings.go 's/limit = min(limit, time.Duration(t.KillAfter)-killMargin)/limit = min(limit, 5700*time.Millisecond)/' ./platform -run 'StopTime|PlannedStop'
mutant "part of the stop for requests in flight" internal/settings/settings.go 's/return min(time.Duration(t.StopGrace), .*/return time.Duration(t.StopGrace)/' ./platform -run StopTime
mutant "signal during an operator's stop" internal/daemon/stop.go 's/if !signalled {/if false {/' ./e2e -ginkgo.focus "a signal follows"
mutant "graceful end" internal/daemon/stop.go 's/d.callerServer.Shutdown(ctx), d.peerServer.Shutdown(ctx)/d.callerServer.Close(), d.peerServer.Close()/' ./e2e -ginkgo.focus "in turn under load"
mutant "witnesses" internal/system/detection/judge.go 's/return live <= 1 || e.corroborated(now)/return true/' ./experiment/detection -run NoFalse
mutant "peers' score" internal/system/detection/score.go 's/peerFactor = 3/peerFactor = 0/' ./experiment/detection -run NoFalse
mutant "gossip reaches all" internal/gossip/queue.go "s/extraTransmits = 12$/extraTransmits = 0/" ./internal/membership
mutant "asking ends" internal/claims/coordinator.go "s/time.Now().After(deadline)/deadline.IsZero()/" ./internal/claims
mutant "stand-in for a silent reader" internal/system/configsync/failover.go 's/heartbeatAge > heartbeatTimeout/heartbeatAge > time.Hour/' ./internal/system/configsync
mutant "stand-in for a stale reader" internal/system/configsync/failover.go 's/answerAge > takeOverAge/answerAge > takeOverAge+time.Hour/' ./internal/system/configsync
mutant "grace for lapsed registrations" internal/system/configsync/absence.go 's/if grace <= 0 || b.Leaving {/if true {/' ./internal/system/configsync
mutant "a change that does not fit" internal/registry/registry.go 's/if list.Base > t.revision {/if false {/' ./internal/registry
mutant "a digest that differs" internal/registry/registry.go 's/list.Digest != 0 \&\& list.Digest != t.digest/false/' ./internal/registry
mutant "the whole list is asked for" internal/system/configsync/discovered.go 's/	doc.Incomplete = true$//' ./internal/engine -run WholeList
mutant "changes in place of lists" internal/registry/registry.go 's/if revision == 0 || revision < t.completeSince {/if true {/' ./internal/registry -run Bytes
mutant "evacuation" internal/system/rotation/rotation.go 's/slices.Contains(p.w.Evacuated, b.Config.DataCentre)/false/' ./internal/engine -run Evacuated
mutant "home regions" internal/region/region.go 's/known \&\& slices.Contains(h.regions, region)/known \&\& region != ""/' ./platform -run HomeRegions
mutant "homes of route and customer" internal/frontend/customer.go 's/^		req.Homes = req.Homes.Intersect(holder.Homes)$//' ./platform -run HomeRegions
mutant "cold servers" internal/engine/serviceview.go 's/if svc.Config.ColdPerSecond <= 0 {/if true {/' ./platform -run ColdServer
mutant "cold again" internal/registry/registry.go 's/ || now.Add(time.Duration(other.Warmup)).Sub(e.coldUntil) > warmupTolerance \&\& other.Warmup > 0//' ./platform -run ColdAgain
mutant "breadth where requests are enough" internal/policy/coverage.go 's/ \&\& svc.requestShareFor(now, wanted) <= need.maxRequestShare//' ./internal/policy -run CoverageRequires
mutant "servers that join" internal/policy/coverage.go 's/func (s \*server) isUntried() bool { return .* }/func (s *server) isUntried() bool { return false }/' ./internal/policy -run JoinedServer
mutant "servers that are met are not new" internal/policy/table.go 's/return !view.JoinedAt.IsZero() \&\& now.Sub(view.JoinedAt) < newServerPeriod/return true/' ./internal/policy -run NewServersAreTrusted
mutant "requests with little time" internal/policy/deadline.go 's/return shortest > 0 \&\& queue/return false \&\& queue/' ./experiment/replay -run LittleTime
mutant "hosts wait for a reader that lists" internal/system/configsync/configsync.go 's/if s.failover.heardReader \&\& now.Sub(s.failover.lastHeartbeat) <= heartbeatTimeout {/if false {/' ./experiment/loops -run LongList
mutant "readers are heard before their first answer" internal/system/configsync/failover.go 's/if !s.conf.ReaderFailover || !IsReader(w) {/if !s.conf.ReaderFailover || !IsReader(w) || s.failover.lastOwnAnswer.IsZero() {/' ./internal/system/configsync -run UnansweredReader
mutant "sync prefers the local data centre" internal/membership/config.go 's/remoteSyncRatio = 8$/remoteSyncRatio = 1/' ./internal/membership -run SyncPrefersLocalDataCentre
mutant "bounded overflow" internal/policy/pick.go 's/	overflowSample = 128$/	overflowSample = 100000/' ./internal/policy -run Overflow
mutant "late reports" internal/policy/report.go 's/if next.isOlderThan(p.counts) {/if false {/' ./internal/policy
mutant "servers stay in use" internal/policy/coverage.go 's/return unusedServerBonus/return 0/' ./internal/policy
mutant "a server that closes at once" internal/dispatch/send.go 's/return kind == errs.KindAnswerBroken \&\& !failure.Reused/return false/' ./platform -run ClosesAtOnce -count=20
mutant "a send that never left" internal/policy/outcome.go 's/	if done.Unsent {/	if false {/' ./internal/policy -run UnsentRequest
mutant "a server out of a neighbour's reach" internal/policy/report.go 's/	case unreached > 0:/	case false:/' ./internal/policy -run ConnectionFailureOfPeer
mutant "errors after work" internal/policy/outcome.go 's/done.FirstByte > fastErrorLimit(p)/false/' ./internal/policy
mutant "broken idle connections" internal/policy/retries.go 's/if current.staleConnections > previous.staleConnections {/if false {/' ./internal/policy
mutant "bound of idle time" internal/upstream/idle.go 's/if maxIdle > 0 \&\& idle > maxIdle {/if false {/' ./internal/upstream
mutant "refused writes" internal/upstream/conn.go 's/if n == 0 \&\& err != nil {/if false {/' ./internal/upstream
mutant "told load is shared" internal/policy/report.go 's/if l.ToldLoad > 0 {/if false {/' ./internal/policy
mutant "first report is a use" internal/policy/report.go 's/case first:/case false:/' ./internal/policy
mutant "contents are counted" internal/quarantine/quarantine.go 's/	contentThreshold = 3$/	contentThreshold = 300/' ./e2e -run TestRequestThatEndsServers
mutant "an answer clears a content" internal/quarantine/suspect.go 's/^	delete(t.suspects, id)$//' ./internal/quarantine -run 'HarmlessRequests|AnswerClears'
mutant "an answer at any host clears" internal/quarantine/table.go 's/case t.answers.clears(q):/case false:/' ./internal/quarantine -run AnswerAtAnyHost
mutant "answered before, tried early" internal/quarantine/trial.go 's/now.Sub(began) < earlyTrialWindow/now.Before(began)/' ./internal/quarantine -run AnsweredBefore
mutant "never answered, not tried early" internal/quarantine/trial.go 's/ \&\& t.knownAnswered(now, q.Content)//' ./internal/quarantine -run WithoutAnswer
mutant "an answer at another host, tried early" internal/quarantine/table.go 's/^			t.reportAnsweredBefore(now, q.Content)$//' ./experiment/replay -run BesideThose
mutant "one end counts once" internal/quarantine/suspect.go 's/if slices.ContainsFunc(s.crashes, crash.sameCrash) {/if slices.ContainsFunc(s.crashes, crash.sameCrash) \&\& false {/' ./internal/quarantine -run OneServerCountsOnce
mutant "ends are told again" internal/quarantine/table.go 's/s.resendAt = now.Add(resendDelay)/s.resendAt = time.Time{}/' ./internal/quarantine -run LostMessages
mutant "new homes are told" internal/quarantine/table.go 's/^		t.reportToNewHomes(now, s)$/		_ = s/' ./internal/quarantine -run HomesAreKilled
mutant "one trial at a time" internal/quarantine/trial.go 's/tried \&\& now.Sub(began) < trialInterval/tried \&\& now.Before(began)/' ./internal/quarantine -run TestTrial
mutant "a lift forgets" internal/quarantine/decide.go 's/^	t.dropLifted(s)$//' ./internal/quarantine -run 'Lift|LateHome'
mutant "leaving servers are no evidence" internal/dispatch/quarantine.go 's/return x.inRotation(lease.Server) \&\& /return /' ./e2e -ginkgo.focus "after it was drained"
mutant "a host that stood still is no witness" internal/dispatch/quarantine.go 's/x.d.snapshot().Fresh(time.Now(), boottime.Suspended())/(x.d.snapshot().Fresh(time.Now(), boottime.Suspended()) || true)/' ./e2e -ginkgo.focus "stood still"
mutant "an end is checked" internal/dispatch/quarantine.go 's/fate == upstream.LivenessEnded \&\& /(fate == upstream.LivenessEnded || true) \&\& /' ./e2e -ginkgo.focus "evidence that a request"
mutant "path faults leave half" internal/system/rotation/rotation.go 's|minimum := max(p.floor, (len(p.svc.Backends)+1)/2)|minimum := p.floor|' ./internal/system/rotation
mutant "suspension" internal/engine/engine.go 's/pause := max(world.Elapsed(e.lastTick, now), now.Sub(e.lastTick)+suspendedFor)/pause := world.Elapsed(e.lastTick, now)/' ./internal/engine
mutant "spent allowance" internal/policy/pick.go 's/return rule.IdempotentFailure + spent\*/return rule.IdempotentFailure + 0*spent*/' ./internal/policy
mutant "trouble within a second" internal/policy/coverage.go 's/ || svc.hasManyUnserved(now, windowBuckets\/2)//' ./internal/policy
mutant "new hosts compare with their data centre" internal/membership/probe.go 's/if view := l.table.currentView(l.conf.Host); len(view.local) > 0 {/if view := l.table.currentView(l.conf.Host); len(view.local) > 0 \&\& l.bootstrapSyncs == len(bootstrapSyncAges) {/' ./experiment/loops -run StartBetweenDataCentres
mutant "few hosts compare with other data centres" internal/membership/probe.go 's/return before < farComparers/return true/' ./experiment/loops -run StartBetweenDataCentres
mutant "hosts without documents say hello" internal/engine/hello.go 's/^	e.sayHello(now)$//' ./experiment/loops -run ReadySoonAfter
mutant "hosts that wait are told of documents" internal/engine/hello.go 's/^	e.welcomeWaiting(now)$//' ./experiment/loops -run ReadySoonAfter
mutant "known hosts read first" internal/startup/startup.go 's/if at := contact.Add(ReadGrace + delay); at.After(planned) {/if at := contact; at.After(planned) {/' ./internal/startup
mutant "waiting requests are let in by deadline" internal/startup/hold.go 's/return q\[i\].Deadline.Before(q\[j\].Deadline)/return q[j].Deadline.Before(q[i].Deadline)/' ./internal/startup
mutant "reports are passed on once" internal/daemon/loadrelay.go 's/if r.seen\[key\] != digest {/if true {/' ./internal/daemon
mutant "reports go by way of different hosts" internal/sharing/message.go 's/relays\[turn%len(relays)\]/relays[0]/' ./internal/sharing -run RemoteByRelay
mutant "missing documents only" internal/system/configsync/configsync.go 's/if w.Document(key).Revision == 0 {/if true {/' ./internal/system/configsync
mutant "start grace" internal/system/configsync/configsync.go 's/lastHeartbeat: now.Add(startGrace)/lastHeartbeat: now/' ./internal/system/configsync
mutant "refusal after an owner broke off" internal/dispatch/forward.go 's/if x.written \&\& outcome/if false \&\& outcome/' ./internal/dispatch
mutant "an owner that declines may have sent it" internal/dispatch/forward.go 's/x.recordDecline(response)/response.DrainAndClose()/' ./internal/dispatch -run OwnerLostItsPath
mutant "refusal here after an owner broke off" internal/dispatch/dispatch.go 's/refusal.Outcome == OutcomeNotRun \&\& x.written/false/' ./internal/dispatch
mutant "new hosts spend little" internal/policy/retries.go 's/if now.Sub(t.started) >= rule.Window {/if true {/' ./internal/policy -run 'NewHostSpendsLittle|RandomSeries'
mutant "gifts are charged to the giver" internal/policy/peertotals.go 's/		svc.charged.add(now, t.conf.Retry.Window, 1)/		_ = to/' ./internal/policy -run RetriesAreGivenOnce
mutant "gifts count once" internal/policy/peertotals.go 's/if l.GiftNumber > h.giftNumber \&\& l.GiftTo/if l.GiftTo/' ./internal/policy -run RetriesAreGivenOnce
mutant "gifts are for one host" internal/policy/peertotals.go 's/ \&\& l.GiftTo == t.conf.Host {/ {/' ./internal/policy -run RetriesAreGivenOnce
mutant "gifts expire" internal/policy/retries.go 's/if now.After(b.receivedUntil) {/if false {/' ./internal/policy -run RetriesAreGivenOnce
mutant "retries are charged" internal/policy/retries.go 's/	svc.charged.add(now, t.conf.Retry.Window, 1)/	_ = svc/' ./internal/policy -run 'HostSpendsItsOwnPart|RandomSeries' -timeout 60s
mutant "relayed requests are counted once" internal/policy/retries.go 's/case req.FirstAttempt \&\& !req.Counted:/case req.FirstAttempt:/' ./internal/policy -run CountedRequest
mutant "a relayed retry asks for allowance" internal/dispatch/exchange.go 's/if x.req.Arrived > 0 \&\& !x.mayRetry() {/if false {/' ./internal/dispatch -run RelayedRetryNeeds
mutant "waiting requests are evidence" internal/policy/unanswered.go 's/	return min(float64(total)\/1e6, maxUnansweredLogOdds).*/	return 0/' ./internal/policy
mutant "slow services say nothing" internal/policy/unanswered.go 's/, maxUnansweredLogOdds) \* svc.unansweredWeight(now)/, maxUnansweredLogOdds)/' ./internal/policy
mutant "evidence of neighbours" internal/policy/unanswered.go 's/		if now.Sub(peer.at) < peerReportTTL {/		if false {/' ./internal/policy
mutant "abandoned requests are evidence" internal/policy/outcome.go 's/s.recordUnanswered(now, done.unansweredLogOdds)/_ = done.unansweredLogOdds/' ./internal/policy
mutant "short deadlines say nothing" internal/policy/outcome.go 's/case done.TimedOut \&\& done.unansweredLogOdds < overdueLogOdds:/case false:/' ./internal/policy
mutant "copies of reads" internal/policy/copies.go 's/	if !t.has(MechanismCopies) {/	if true {/' ./e2e -ginkgo.focus "by a copy"
mutant "no copies of writes" internal/dispatch/hedge.go 's/ \&\& x.req.Idempotent \&\& / \&\& /' ./e2e -ginkgo.focus "no second copy"
mutant "usual times by route" internal/policy/routes.go 's/ok \&\& r.answers > 0 \&\& /ok \&\& false \&\& /' ./internal/policy
mutant "hopeless requests" internal/policy/admission.go 's/missedDeadlineThreshold = 0.9/missedDeadlineThreshold = 2.0/' ./internal/policy
mutant "standing queue" internal/policy/admission.go 's/standingShare  *= 0.5/standingShare = 2.0/' ./experiment/replay -run StandingQueue
mutant "less urgent make room" internal/policy/admission.go 's/lowPriorityFactor = 0.5/lowPriorityFactor = 1.0/' ./experiment/replay -run Priorities
mutant "time is over" internal/dispatch/exchange.go 's/ \&\& x.unsentFailures < maxUnsentFailures \&\& !x.isExpired(ctx) {/ \&\& !isCallerGone(ctx) {/' ./platform -run TimeOver
mutant "signature" internal/dispatch/result.go 's/proto.Signature != ""/proto.Signature == "-"/' ./platform -run Idempotent
mutant "misdirected" internal/dispatch/roundtrip.go 's/case x.isMisdirected(response), x.d/case x.d/' ./platform -run NotRun
mutant "indirect probes" internal/membership/probe.go 's/if !p.indirectSent \&\& !now.Before(p.indirectAt) {/if false {/' ./internal/membership
mutant "stale after a pause" internal/engine/freshness.go "s/if pause > e.conf.Freshness {/if false {/" ./internal/engine
mutant "deadlines extended by a pause" internal/membership/probe.go 's/if gap := now.Sub(l.lastTick); gap > pauseProbeIntervals\*l.conf.ProbeInterval {/if gap := now.Sub(l.lastTick); gap < 0 {/' ./internal/membership

mutant "new host is no reader" internal/system/configsync/configsync.go 's/return w.Settled \&\& slices/return slices/' ./e2e -ginkgo.focus "all hosts restart"
mutant "polls stretch" internal/system/configsync/configsync.go 's/max(hosts, PollHosts)/max(0, PollHosts)/' ./internal/system/configsync
mutant "key stays here" internal/dispatch/request.go 's/r.HideKey \&\& sameHeader/false \&\& sameHeader/' ./platform -run TestServerIsToldTheCustomer
mutant "customer is ours to name" internal/dispatch/request.go 's/sameHeader(name, proto.Customer) || /name == "" || /' ./platform -run TestServerIsToldTheCustomer
mutant "trailers hide the customer" internal/dispatch/request.go 's/^	r.hideCustomer(forwarded, proto)$//' ./platform -run TestTrailers
mutant "refusal before the body" internal/frontend/problem.go 's/^	drainBody(w, r, wait)$/	_ = wait/' ./platform -run TestUnknownKeyIsRefusedBefore -timeout 20s
mutant "rate limits are asked for" internal/dispatch/ratelimit.go 's/case !verdict.OK:/case false:/' ./platform -run AllServersLimited
mutant "unused token goes back" internal/dispatch/send.go 's/		x.returnToken(token)/		_ = token/' ./platform -run UnusedToken
mutant "copies spare limited servers" internal/policy/copies.go 's/if r.Parallel .*/if false {/' ./internal/policy -run RateLimitedServers
mutant "limited servers cost more" internal/policy/pick.go 's/if req.isLimited(b) {/if false {/' ./internal/policy -run RateLimitedServers
mutant "equal shares of small limits" internal/quota/quota.go 's/EqualShares: true, //' ./internal/quota -run Remember
mutant "no tokens accrued for fallback" internal/quota/request.go 's/if !s.homeUnreachable \&\& !t.rule.AccruesFallback {/if false {/' ./internal/quota -run FallbackDoesNotExceed
mutant "a later answer ends a limit" internal/ratelimit/listener.go 's/isLater := .*/isLater := true/' ./internal/ratelimit
mutant "limits of one process" internal/ratelimit/ratelimit.go 's/if !known || server.IsNewerThan(limit.Server) {/if !known {/' ./internal/ratelimit
mutant "limits are renewed" internal/ratelimit/listener.go 's|current.Until.Sub(now) < limitTTL/2|false|' ./internal/ratelimit
mutant "a limit told to all hosts" internal/daemon/ratelimit.go 's/	r.d.engine.Write(now, register)/	_ = register/' ./platform -run RateLimitReachesAllHosts
mutant "shares are reserved" internal/quota/share.go 's/reserved += u.share/reserved += 0/' ./internal/quota
mutant "repeated token request" internal/quota/home.go 's/usage.Ask != 0 \&\& usage.Ask == u.requestID/false/' ./internal/quota
mutant "trials" internal/policy/trial.go 's/^	return now.Sub(s.lastSent) > trialInterval.*/	return false/' ./experiment/replay -run TestTrials
mutant "restart under the same ID" internal/policy/table.go 's/restarted := s.started != 0/restarted := false/' ./internal/policy
mutant "entries of other writers" platform/configuration.go 's/if \*r.State != stateReady \&\& \*r.State != stateDraining {/if false {/' ./platform -run TestEntries

mutant "requests are relayed" internal/dispatch/relay.go 's/return x.pathLost() || x.unreachable >= maxUnreachable/return false/' ./platform -run TestHostWithoutPath
mutant "relayed once" internal/dispatch/relay.go 's/if x.relayed || x.req.ForwardedBy != "" || /if x.relayed || /' ./internal/dispatch -run RelayedAgain
mutant "attempts go along" internal/dispatch/relay.go 's/^	h.Set(HeaderAttempts, .*$//' ./platform -run TestRelayedRequestKeepsToItsAttempts
mutant "a key is claimed once" internal/dispatch/relay.go 's/if x.claimed {/if false {/' ./platform -run TestKeyOfRelayedRequest
mutant "a host without a path declines" internal/dispatch/exchange.go 's/return x.pathLost() || x.unreachable >= maxUnreachable/return false/' ./internal/dispatch -run DeclinesARelayed
mutant "own data centre first" internal/dispatch/relay.go 's/if len(near) < snap.HostsWithoutPath {/if true {/' ./internal/dispatch -run RelaysOfTheOwn
mutant "relays spread beyond it" internal/dispatch/relay.go 's/if len(near) < snap.HostsWithoutPath {/if false {/' ./internal/dispatch -run RelaysOfTheOwn
mutant "hosts that declined wait" internal/dispatch/relay.go 's/ || now.Before(t.avoidUntil\[host.Host\])//' ./internal/dispatch -run RelayChoice
mutant "relays have a path" internal/engine/views.go 's/ \&\& h.Path == peerpb.PathState_PATH_STATE_WORKING {/ {/' ./internal/engine -run Relays
mutant "a loss needs several servers" internal/pathloss/pathloss.go 's/min(minServers, known)/1/' ./internal/pathloss
mutant "a server reached ends a loss" internal/pathloss/pathloss.go 's/func (d \*Detector) Reached() { clear(d.unreachable) }/func (d *Detector) Reached() {}/' ./internal/pathloss
mutant "witnesses of a loss" internal/policy/path.go 's/return t.witnesses.failed() \&\& t.path/return t.path/' ./internal/policy -run PartOfTheServers
mutant "open connections prove no path" internal/policy/path.go 's/	if newConnection {/	if true {/' ./internal/policy -run OpenConnection
mutant "unreachable servers are held back" internal/policy/path.go 's/	if len(t.heldEvidence) < maxHeld {/	s.counts.confirmedUnreachable++; if false {/' ./internal/policy -run ReportedOnce
mutant "waiting out of reach is no evidence" internal/policy/report.go 's/	if s.pathFailures == 0 {.*/	if true {/' ./internal/policy -run AccusesNobody
mutant "answers outweigh a path" internal/policy/report.go 's/ \&\& now.Sub(s.answeredAt) > answeredRecently {/ {/' ./internal/policy -run AnswersOutweigh
mutant "broken connection out of reach" internal/policy/outcome.go 's/unreachable := s.pathFailures > 0 || done.ServerUnreachable/unreachable := false/' ./internal/policy -run BrokenConnection
mutant "fresh connections after a path fault" internal/policy/connections.go 's/hasPathFault := .*/hasPathFault := false/' ./internal/policy -run PathFault
mutant "requests wait for a free slot" internal/policy/defer.go 's/return req.MayWait .*/return false/' ./experiment/replay -run 'WaitQueueKeeps|WaitingInstead'
mutant "waiting requests are refused in time" internal/waitqueue/queue.go 's/arrivalFactor  *= 1.25/arrivalFactor = 1000/' ./internal/waitqueue
mutant "each refused later" internal/waitqueue/queue.go 's/case priority <= item.Priority .*/case false:/' ./internal/waitqueue
mutant "recheck without a report" internal/waitqueue/set.go 's/^	s.reviewWithin(now, RecheckInterval)$//' ./internal/balance -run LostReport
mutant "unproven promise" internal/dispatch/roundtrip.go 's/case x.d.proto.StatusPromisesNotRun(response.StatusCode):/case false:/' ./platform -run TestServerErrorIsNoPromise
mutant "target as sent" internal/dispatch/request.go 's/strings.HasPrefix(path, "\/") {/path == "" {/' ./platform -run TestRequestTargetReaches

echo "$survivors survivors"
exit "$((survivors > 0))"
