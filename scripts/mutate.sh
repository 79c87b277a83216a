#!/usr/bin/env bash
# Takes out one safeguard at a time, on a copy, and shows that a test notices.
#
#   scripts/mutate.sh            all of them
#   scripts/mutate.sh NAME ...   the named ones
#
# Each line of the table, split by tabs: a name, files, a Perl substitution, and the test that must fail.
set -euo pipefail
cd "$(dirname "$0")/.."
copy=target/mutants/tree
export CARGO_TARGET_DIR="$PWD/target/mutants/build"

table() {
  cat <<'TABLE'
record-not-consulted	crates/core/src/agent/requests.rs	s/self\.ledger\.get\(key\) \{/self.ledger.get(key).filter(|_| false) {/	-p rosemaryusher-core --test request_fuzz
refusal-not-recorded	crates/core/src/ledger.rs	s/entry\.state = RequestState::Refused;\n\s+return;/self.sessions.remove(\&key.session); return;/	-p rosemaryusher-core --test request_fuzz
floor-ignored	crates/core/src/ledger.rs	s/issued_s <= self\.floor_s/false \&\& issued_s <= self.floor_s/	-p rosemaryusher-core --test request_fuzz
home-not-checked	crates/core/src/agent/requests.rs crates/core/src/balancer/requests.rs	s/if ticket\.home == self\.config\.instance => \{\n(\s+)self\.serve_at_home/if ticket.home != ids::InstanceId(0) => {\n$1self.serve_at_home/;s/TicketRoute::HomeGone if !must_run_at_home =>/TicketRoute::HomeGone if true =>/	-p rosemaryusher-core --test request_fuzz
record-expires-early	crates/core/src/ledger.rs	s/issued\.plus\(ticket::TICKET_LIFETIME_MS \+ EXPIRY_MARGIN_MS\)/issued.plus(2_000)/	-p rosemaryusher-core --test request_fuzz
handover-empty	crates/core/src/agent/handover.rs	s/self\.ledger\.export\(\)\)/Vec::new())/	-p rosemaryusher-core --test request_fuzz
drain-takes-work	crates/core/src/agent/requests.rs	s/if !self\.draining \{/if true {/	-p rosemaryusher-core --test request_fuzz
drain-takes-posts	crates/core/src/agent/requests.rs	s/_ if self\.draining && !is_started/_ if false \&\& !is_started/	-p rosemaryusher-core --test request_fuzz
generation-goes-back	crates/core/src/config.rs	s/_ if delta\.generation <= self\.generation => return DeltaOutcome::Stale,//	-p rosemaryusher-core --test request_fuzz
unknown-handed-as-not-run	crates/core/src/ledger.rs	s/RequestState::Unknown \| RequestState::Running => None/RequestState::Unknown | RequestState::Running => continue/	-p rosemaryusher-core --test request_once unknown_handover
partial-record-trusted	crates/core/src/agent/handover.rs	s/filter\(\|record\| record\.is_complete\)\?/filter(|_| true)?/	-p rosemaryusher-core --test request_once partial_handover
run-and-service-unchecked	crates/core/src/agent/mod.rs	s/_ if packet\.target != self\.config\.instance => .*?\n//;s/_ if packet\.service != self\.config\.service => .*?\n//	-p rosemaryusher-core --test request_once reused_address
woken-starts-queue	crates/core/src/agent/mod.rs	s/if paused \{/if false \&\& paused {/;s/self\.refuse_expired\(now, actions\);//	-p rosemaryusher-core --test request_once frozen_home
reuse-not-compared	crates/core/src/agent/requests.rs	s/_ => entry\.digest == request\.digest\(\)/_ => true/	-p rosemaryusher-core --test request_once reused_tag
seal-not-checked	crates/core/src/ticket.rs	s/false => Err\(TicketError::BadSeal\)/false => Ok(sealed.ticket())/	-p rosemaryusher-core --test request_once forged_ticket
expiry-not-checked	crates/core/src/balancer/requests.rs crates/core/src/agent/requests.rs	s/Ok\(ticket\) if ticket\.expires\(\) <= now => TicketRoute::HomeGone,//;s/ticket\.service == self\.config\.service && ticket\.expires\(\) > now/ticket.service == self.config.service/	-p rosemaryusher-core --test request_once expired_ticket
service-of-ticket-unchecked	crates/core/src/balancer/requests.rs	s/Ok\(ticket\) if ticket\.service != service => TicketRoute::Invalid,//	-p rosemaryusher-core --test request_once foreign_ticket
refusing-home-offered	crates/core/src/balancer/requests.rs	s/refuse\.on_behalf_of\.into_iter\(\)\.chain\(\[refuse\.head\.from\]\)\.collect\(\)/Vec::new()/	-p rosemaryusher-core --test request_once ticket_circle
anchors-not-registered	crates/core/src/agent/flows.rs	s/for anchor in anchors\.difference\(&before\)/for anchor in anchors.difference(\&before).take(0)/	-p rosemaryusher-core --test flow_fuzz flows_hold
no-new-registration	crates/core/src/agent/mod.rs	s/self\.register_until = now\.plus\(2 \* routing::SETTLE_MS\);\n\s+self\.last_registered = now;\n\s+self\.register_flows\(now, actions\);//	-p rosemaryusher-core --test flow_fuzz flows_hold
lookup-skipped	crates/core/src/agent/flows.rs	s/if others\.is_empty\(\) \{/if true {/	-p rosemaryusher-core --test flow_order skewed_views
no-yield	crates/core/src/agent/flows.rs	s/if self\.flows\.is_pending\(&flow\) && self\.has_precedence_over\(origin\.anchor, &flow, now\)/if false/	-p rosemaryusher-core --test flow_order skewed_views
unsettled-used	crates/core/src/routing.rs	s/pub const SETTLE_MS: u64 = 3_000/pub const SETTLE_MS: u64 = 0/	-p rosemaryusher-core --test flow_order many_join
overtaken-adoption	crates/core/src/agent/flows.rs	s/let concurrent = self\.flows\.end_lookup\(&flow\)/let concurrent = None::<flow_table::PendingFlow>/;s/_ if owner == self\.config\.instance => self\.adopt_pending\(flow, now, actions\),/_ if owner == self.config.instance => {}/	-p rosemaryusher-core --test flow_order overtaken_adoption
repeated-adoption	crates/core/src/agent/flows.rs	s/false if self\.flows\.known_owner\(&packet\.flow\(\)\)\.is_some\(\)/false if false/	-p rosemaryusher-core --test flow_order repeated_adoption
phase-goes-back	crates/core/src/membership/record.rs	s/self\.phase = self\.phase\.max\(other\.phase\)/self.phase = other.phase/	-p rosemaryusher-core --test membership_merge late_serving
no-refutation	crates/core/src/membership/prober.rs	s/if refutable \{/if false {/	-p rosemaryusher-core --test membership_merge frozen_refutes
fetched-view-repeated	crates/core/src/membership/prober.rs	s/self\.updates\.retain\(\|member, _\| \*member == own \|\| updates\.contains_key\(member\)\);//	-p rosemaryusher-core --test membership_merge fetched_view
removal-not-remembered	crates/core/src/config.rs	s/self\.services\.remove\(&service\);\n\s+self\.removed\.insert\(service, removed\);/if self.services.remove(\&service).is_some() { self.removed.insert(service, removed); }/	-p rosemaryusher-core --test config_forward removal_skipped
gap-taken	crates/core/src/config.rs	s/_ if delta\.since > self\.generation => return DeltaOutcome::Gap,//	-p rosemaryusher-core --test config_forward delta_gap
lost-answer-is-conflict	crates/node/src/release/mod.rs	s/if let Some\(generation\) = found\.generation_of\(write_id\)/if let Some(generation) = found.generation_of(write_id).filter(|_| false)/	-p rosemaryusher-node --test release_race lost
address-moves-at-once	crates/node/src/release/mod.rs	s/faults\.extend\(addresses::cooldown_faults\(.*?\)\);//	-p rosemaryusher-node --test release_race address_moved
address-owner-unchecked	crates/core/src/agent/mod.rs	s/_ if is_moved && is_newer => .*?\n//	-p rosemaryusher-core --test agent_drain moved_address
fetching-not-noted	crates/core/src/agent/answers.rs	s/_ => drop\(self\.bodies\.fetch\(&key, wanted, now\)\),/_ => {}/	-p rosemaryusher-core --test agent_drain answer_fetched
upload-not-counted	crates/core/src/agent/mod.rs	s/requests && self\.uploads == 0/requests/	-p rosemaryusher-core --test agent_drain upload_goes_on
later-block-runs	crates/core/src/agent/requests.rs	s/_ if wants_later_block =>/_ if false \&\& wants_later_block =>/	-p rosemaryusher-core --test agent_drain answer_gone
queue-unbounded	crates/core/src/admission.rs	s/>= self\.slots \* self\.queue_per_slot/>= u32::MAX/;s/_ if now\.plus\(wait_ms as u64\) >= deadline => self\.refusal\(jitter\),//	-p rosemaryusher-core --test admission_gate goodput_under_overload
stream-drain-ignored	crates/core/src/stream/agent/admission.rs	s/_ => Some\(message::ReturnReason::NotServing\),/host::HostPhase::Draining => None, _ => Some(message::ReturnReason::NotServing),/	-p rosemaryusher-core --test stream_moves host_drains
stream-service-unchecked	crates/core/src/stream/agent/admission.rs	s/_ if carry\.service != self\.config\.service => Some\(message::ReturnReason::OtherService\),//;s/_ if self\.is_rerouted\(key, carry\.generation\) => \{?\s*Some\(message::ReturnReason::OtherService\)\s*\}?,?//	-p rosemaryusher-core --test stream_moves address_reused
stream-dropped-route-runs	crates/core/src/stream/agent/admission.rs	s/None => self\.state\.generation\(\) > generation,/None => false,/	-p rosemaryusher-core --test stream_moves route_dropped
stream-lookup-skipped	crates/core/src/stream/balancer/routing.rs	s/let holders = liveness::PossibleHolders \{.*?\};/let _ = knows_all_members; let holders = liveness::PossibleHolders::default();/s	-p rosemaryusher-core --test stream_moves balancer_replaced
stream-reset-unsure	crates/core/src/stream/lookup.rs	s/let are_all_asked = self\.knows_all_members && self\.unanswered\.is_empty\(\);/let are_all_asked = true;/	-p rosemaryusher-core --test stream_moves agent_unreachable
stream-agent-always-sure	crates/core/src/stream/agent/mod.rs	s/self\.has_seen_all_openings \|\| is_old/true || is_old/	-p rosemaryusher-core --test stream_moves agent_restarted
stream-halves-not-told	crates/core/src/stream/host_streams.rs	s/let Some\(first\) = self\.first_sequence else \{ return true \};/if caller_expects > 0 { return true; } let Some(first) = self.first_sequence else { return true };/	-p rosemaryusher-core --test stream_halves half_open_distinguished
stream-hang-unnoticed	crates/core/src/stream/agent/mod.rs	s/self\.return_unanswered\(now, actions\);//	-p rosemaryusher-core --test stream_moves host_hangs
stream-dead-run-silent	crates/core/src/stream/agent/host_events.rs	s/actions\.push\(stream::StreamAction::Reset\(\*key, stream\.caller_expects\)\);/let _ = (key, stream);/	-p rosemaryusher-core --test stream_moves host_crashed
stream-early-opening-forgotten	crates/core/src/stream/host_streams.rs	s/stream\.opened <= limit/stream.opened <= limit || true/	-p rosemaryusher-core --test stream_moves early_opening
stream-leaver-struck-off	crates/core/src/stream/agent/reports.rs	s/known\.last_report = now;\n/if report.is_leaving { self.balancers.remove(\&from); return; }\n        known.last_report = now;\n/	-p rosemaryusher-core --test stream_moves leaving_balancer_serves
stream-newcomer-refuses	crates/core/src/stream/buffered_openings.rs	s/let has_time = .*?;/let has_time = false;/	-p rosemaryusher-core --test stream_moves new_balancer_parks
stream-no-admission	crates/core/src/stream/agent/admission.rs	s/host::HostPhase::Serving\s+if self\.host_streams\.busy\(\) >= limit \|\| self\.is_rate_limited\(now\) =>\s*\{\s*Some\(message::ReturnReason::Full\)\s*\}//	-p rosemaryusher-core --test stream_moves overload_ends
stream-work-not-forgotten	crates/core/src/stream/host_streams.rs	s/WorkPhase::AwaitingRequest if age > wait_ms => stream\.phase = WorkPhase::Idle,//	-p rosemaryusher-core --test stream_moves overload_ends
stream-late-report-taken	crates/core/src/stream/host.rs	s/_ if self\.ended\.contains\(&report\.run\) => ReportOutcome::Stale,//	-p rosemaryusher-core --test stream_moves late_reports
stream-birth-ignored	crates/core/src/stream/report.rs	s/_ if self == known => RunOrder::Same/_ if self.id == known.id => RunOrder::Same/	-p rosemaryusher-core --test host_restarted restarted_under_same_id
stream-earlier-birth-taken	crates/core/src/stream/report.rs	s/cmp::Ordering::Less \| cmp::Ordering::Equal => RunOrder::Earlier/cmp::Ordering::Less | cmp::Ordering::Equal => RunOrder::Later/	-p rosemaryusher-core --test host_restarted delayed_report_of_unknown_run
stream-unborn-taken	crates/core/src/stream/report.rs	s/\(None, Some\(_\)\) => RunOrder::Foreign/(None, Some(_)) => RunOrder::Later/	-p rosemaryusher-core --test host_restarted foreign_report
stream-other-service-taken	crates/core/src/stream/agent/host_events.rs	s/if !report\.is_of\(self\.config\.service\) \{/if false {/	-p rosemaryusher-core --test address_reused stale_settings
stream-other-service-undoubted	crates/core/src/stream/host.rs	s/self\.is_displaced \|= is_later \|\| keeps_reporting;/self.is_displaced |= keeps_reporting;/	-p rosemaryusher-core --test address_reused agent_kept
stream-earlier-service-displaces	crates/core/src/stream/host.rs	s/Some\(report::RunOrder::Earlier\) => false,/Some(report::RunOrder::Earlier) => true,/	-p rosemaryusher-core --test address_reused delayed_report
stream-former-user-trusted	crates/core/src/stream/host.rs	s/_ if predates_other_service && !keeps_reporting => ReportOutcome::Stale,//	-p rosemaryusher-core --test address_reused delayed_report_after_reuse
stream-former-service-trusted	crates/core/src/stream/agent_table/liveness.rs	s/!known\.is_service_disputed && service/service/	-p rosemaryusher-core --test search_exclusions announced_service_changed
stream-service-changes	crates/core/src/stream/host.rs	s/ \|\| report\.service != self\.report\.service//	-p rosemaryusher-core --test host_restarted foreign_report
stream-first-word-trusted	crates/core/src/stream/host.rs	s/\.filter\(\|known\| known\.was_up\(period_ms\)\)/.filter(|_| period_ms > 0)/	-p rosemaryusher-core --test host_restarted delayed_report_first
stream-clock-trusted	crates/core/src/stream/host.rs	s/rises && now\.since/false \&\& rises \&\& now.since/	-p rosemaryusher-core --test host_restarted clock_set_back
stream-leave-trusted	crates/core/src/stream/host.rs	s/Some\(known\) if known\.report\.run == \*run => \{/Some(known) if known.report.run.id == run.id => {/	-p rosemaryusher-core --test host_restarted delayed_leave
stream-drained-forgotten	crates/core/src/stream/host.rs	s/!is_gone && \(is_silent \|\| self\.is_leave_unconfirmed\)/!is_gone \&\& self.phase(period_ms, now) == HostPhase::Unknown/	-p rosemaryusher-core --test host_stopped stopped_after_drain
report-service-unchecked	crates/core/src/stream/report.rs	s/match own == Some\(service\) \|\| state\.service\(service\)\.is_some\(\) \{/match own == Some(service) || true || state.service(service).is_some() {/	-p rosemaryusher-node --test rejected_bodies
report-fields-optional	crates/node/src/stream/bodies.rs	s/#\[serde\(rename = "address"\)\]/#[serde(rename = "address", default = "nowhere")]/;s/\n#\[derive\(Deserialize\)\]\n#\[serde\(rename_all/\nfn nowhere() -> net::SocketAddrV4 { net::SocketAddrV4::new(net::Ipv4Addr::LOCALHOST, 1) }\n#[derive(Deserialize)]\n#[serde(rename_all/	-p rosemaryusher-node --test rejected_bodies
entry-without-service	crates/core/src/stream/mod.rs	s/#\[serde\(deserialize_with = "said_service"\)\]/#[serde(default, deserialize_with = "said_service")]/	-p rosemaryusher-core --test stream_members entry_without_service
stream-first-report-proves-nothing	crates/core/src/stream/agent/host_events.rs	s/if is_first_heard && self\.is_first_report_of_run\(report\) =>/if is_first_heard \&\& self.is_first_report_of_run(report) \&\& false =>/	-p rosemaryusher-core --test stream_search all_agents_sure
stream-any-first-proves	crates/core/src/stream/agent/host_events.rs	s/report\.sequence <= FIRST_SEQUENCE && report\.run\.born\.is_none_or\(started_with_agent\)/report.run.born.is_none_or(started_with_agent) || true/	-p rosemaryusher-core --test stream_moves agent_restarted
stream-birth-before-agent	crates/core/src/stream/agent/host_events.rs	s/report\.run\.born\.is_none_or\(started_with_agent\)/(report.run.born.is_none_or(started_with_agent) || true)/	-p rosemaryusher-core --test host_restarted delayed_first_report
stream-equals-in-order	crates/core/src/stream/cost.rs	s/random\.next_u32\(\), agent\)/{ let _ = \&mut *random; 0_u32 }, agent)/	-p rosemaryusher-core --test load_balance
one-bad-item-loses-all	platform/src/store.rs	s/Err\(error\) => \{\n(\s+)external_input::report_invalid\(place, &name\.unwrap_or_default\(\), error\);\n\s+None\n/Err(error) => {\n$1panic!("{error} {name:?} {place:?}");\n/	-p rosemaryusher-platform --test foreign_entries
stream-stale-openings	crates/core/src/stream/policy.rs	s/pause_ms: 500/pause_ms: u32::MAX/	-p rosemaryusher-core --test stream_moves frozen
stream-news-ignored	crates/core/src/stream/balancer/neighbours.rs	s/if report\.generation > self\.state\.generation\(\) \{/if false {/g	-p rosemaryusher-core --test config_propagation
stream-bytes-changed	crates/core/src/stream/agent/admission.rs	s/self\.host_streams\.on_caller_segment\(key, (.*?)Deliver\(metadata, segment\.bytes\.to_vec\(\)\)/self.host_streams.on_caller_segment(key, $1Deliver(metadata, segment.bytes.iter().map(|b| b ^ 1).collect())/s	-p rosemaryusher-core --test stream_fuzz
stream-answer-astray	crates/core/src/stream/agent/host_events.rs	s/Answer\(\*key\.caller\.ip\(\)/Answer(*key.entry.ip()/	-p rosemaryusher-core --test stream_fuzz
stream-probes-counted	crates/core/src/stream/agent/admission.rs	s/message::CarryKind::Probe => \{/message::CarryKind::OpenQueued => {/	-p rosemaryusher-core --test stream_search probes_take_no_slots
stream-lost-waited-for	crates/core/src/stream/policy.rs	s/lost_ms: 2_000/lost_ms: 60_000/	-p rosemaryusher-core --test stream_search lost_machine
stream-out-of-contact	crates/core/src/stream/agent_table/liveness.rs	s/if !self\.reaches_majority\(\) \{/if false {/g	-p rosemaryusher-core --test stream_search contact_regained
stream-gone-asked	crates/core/src/stream/agent_table/exclusion.rs	s/Some\(SearchExclusion::Departed\)/None/	-p rosemaryusher-core --test stream_search departed_agent_skipped
stream-gone-not-asked	crates/core/src/stream/agent_table/liveness.rs	s/Some\(_\) if self\.is_reachable\(known, now\) => exclusion::AgentContact::Reporting,//	-p rosemaryusher-core --test search_exclusions report_of_start_lost
stream-mention-of-gone-ignored	crates/core/src/stream/agent_table/liveness.rs	s/is_mentioned_since: known\.is_service_disputed\s+\|\| self\.is_mentioned_since\(known, known\.last_report\),/is_mentioned_since: false,/	-p rosemaryusher-core --test search_exclusions start_mentioned
stream-silent-service-trusted	crates/core/src/stream/agent_table/exclusion.rs	s/AgentContact::Reporting \| AgentContact::Unreported \{ \.\. \}\s+if self\.is_of_other_service =>/_ if self.is_of_other_service =>/	-p rosemaryusher-core --test search_exclusions address_changed_service
stream-silence-is-loss	crates/core/src/stream/agent_table/liveness.rs	s/false => is_overdue && is_after_power_loss,/false => is_overdue,/	-p rosemaryusher-core --test search_exclusions long_restart
stream-mention-of-unheard-ignored	crates/core/src/stream/agent_table/liveness.rs	s/Some\(since\) if self\.is_mentioned_since\(known, since\) => known\.machine\.last_mention\(\),//	-p rosemaryusher-core --test search_exclusions mentioned_after_power_loss
stream-loss-forgotten	crates/core/src/stream/agent_table/liveness.rs	s/known\.presumed_lost = Some\(now\);/known.presumed_lost = Some(now).filter(|_| false);/	-p rosemaryusher-core --test search_exclusions machine_without_agent
stream-denial-counted-twice	crates/core/src/stream/lookup.rs	s/if take\(&mut self\.unanswered\) \|\|/if self.unanswered.pop().is_some() ||/	-p rosemaryusher-core --test search_exclusions denial_repeated
stream-denials-forgotten	crates/core/src/stream/lookup.rs	s/let answered = \[&self\.denied, /let answered = [/	-p rosemaryusher-core --test stream_search denials_remembered
stream-unanswered-dropped	crates/core/src/stream/lookup.rs	s/true if search\.is_conclusive\(\) => self\.conclude\(key\),/true => self.conclude(key),/;s/            true => \{\n\s+search\.suspend\(now\);\n\s+SearchStep::Pending\n\s+\}\n        \}\n    \}\n\n    \/\/\/ Goes on after an answer, or/        }\n    }\n\n    \/\/\/ Goes on after an answer, or/	-p rosemaryusher-core --test stream_search probed_agent_stops
stream-returned-agent-not-asked	crates/core/src/stream/balancer/neighbours.rs	s/self\.ask_returned_agent\(from, actions\);//	-p rosemaryusher-core --test search_exclusions long_restart
zone-silent-is-lost	crates/core/src/stream/agent_table/liveness.rs	s/2 \* gone > reported\(\)\.count\(\)/gone < u32::MAX as usize/	-p rosemaryusher-core --test data_centre_lost agents_away_long
stream-host-not-doubted	crates/core/src/stream/agent/host_events.rs	s/actions\.push\(stream::StreamAction::ProbeHost\);//	-p rosemaryusher-core --test host_stopped killed_during_request
stream-vanished-for-good	crates/core/src/stream/host.rs	s/match std::mem::take\(&mut self\.is_presumed_over\) \{/match self.is_presumed_over {/	-p rosemaryusher-core --test host_stopped reopened_port_serves
stream-vanished-proves	crates/core/src/stream/agent/host_events.rs	s/host::ReportOutcome::Returned => self\.has_seen_all_openings = false,/host::ReportOutcome::Returned => {}/	-p rosemaryusher-core --test host_stopped reopened_port_with_streams
stream-searched-reset	crates/core/src/stream/host_streams.rs	s/if is_open && stream\.is_known\(\) \{/if is_open {/	-p rosemaryusher-core --test host_stopped probed_while_stopping
stream-dead-end	crates/core/src/stream/agent/admission.rs	s/false if self\.phase\(now\) == host::HostPhase::Gone => \{/false if false => {/	-p rosemaryusher-core --test host_stopped retransmission_elsewhere
stream-held-denied	crates/core/src/stream/agent/host_events.rs	s/is_some_and\(\|stream\| stream\.is_only_probed\)/is_some_and(|stream| !stream.is_opened_by_this_agent)/	-p rosemaryusher-core --test stream_search opening_lost
stream-list-after-search	crates/core/src/stream/lookup.rs crates/core/src/stream/balancer/routing.rs	s/self\.knows_all_members && self\.unanswered/self.unanswered/;s/match self\.search_gap\(key, search\.coverage, now\)/match None::<SearchGap>/	-p rosemaryusher-core --test stream_search list_arrives_during_search
stream-oldest-first	crates/core/src/stream/waiting.rs	s/else \{ sent \};/else { u64::MAX - sent };/;s/\(self\.is_in_time\(work_ms, now\), /(true, /	-p rosemaryusher-core --test admission_queue fresh_first
stream-hopeless-kept	crates/core/src/stream/waiting.rs	s/\|opening\| !opening\.is_viable\(work_ms, now\)/|_| false/	-p rosemaryusher-core --test admission_queue hopeless_refused
stream-copy-placed-twice	crates/core/src/stream/owners.rs	s/if self\.queued\.last\(\) == Some\(last\)/if self.queued.last() == Some(last) \&\& false/	-p rosemaryusher-core --test admission_queue copy_waits
stream-waits-through-drain	crates/core/src/stream/agent/admission.rs	s/Some\(reason\) => self\.return_waiting\(&opening, reason, now, actions\),/Some(_) => return self.waiting.reinsert(opening),/	-p rosemaryusher-core --test admission_queue host_leaves
stream-far-as-near	crates/core/src/stream/policy.rs	s/far_percent: 40/far_percent: 0/	-p rosemaryusher-core --test admission_queue near_first
stream-members-kept	crates/core/src/stream/balancer/mod.rs	s/self\.gossip_members\(now, actions\);//	-p rosemaryusher-core --test stream_members agent_is_gossiped
stream-far-heard-for-long	crates/core/src/stream/policy.rs	s/far_ms: 300/far_ms: 3_000/	-p rosemaryusher-core --test stream_members far_machine_lost
stream-grey-trusted	crates/core/src/stream/policy.rs	s/failing_percent: 200/failing_percent: 0/	-p rosemaryusher-core --test gray_failure failing_avoided
marks-left-on	platform/src/header.rs	s/bytes\[FLAGS\] &= !\w+;//	-p rosemaryusher-platform --test head_codec marks_removed
lost-write-told-undone	platform/src/store.rs	s/http::CallError::Broken => platform::StoreError::Unknown/http::CallError::Broken => platform::StoreError::Unavailable/	-p rosemaryusher-platform --test store_client refusals_and_losses
evacuated-placed	crates/core/src/stream/agent_table/placement.rs	s/is_open && self\.exclusion\(known, needs\)\.is_none\(\)/is_open/	-p rosemaryusher-core --test evacuate_placed open_streams_continue
evacuated-taken	crates/core/src/stream/agent/admission.rs	s/_ if self\.evacuations\.covers\(self\.config\.data_centre\) => \{/_ if false => {/	-p rosemaryusher-core --test evacuate_placed agent_returns_opening
evacuated-waits	crates/core/src/stream/balancer/openings.rs	s/match self\.table\.shared_exclusion\(needs, now\) \{/match None::<placement::PlacementExclusion> {/	-p rosemaryusher-core --test evacuate_placed refused_at_once
evacuation-late-list	crates/core/src/stream/evacuation.rs	s/next\.revision\.number == 0 \|\| next\.revision < self\.revision/next.revision.number == 0/	-p rosemaryusher-core --test evacuate_again stale_list_ignored
epoch-evacuation-dropped	crates/core/src/stream/evacuation.rs	s/self\.kept = before;/drop(before);/	-p rosemaryusher-core --test epoch_evacuation_kept kept_until_rewritten
epoch-evacuation-for-ever	crates/core/src/stream/evacuation.rs	s/const HOLD_MS: u64 = 30_000/const HOLD_MS: u64 = 30_000_000/	-p rosemaryusher-core --test epoch_evacuation_kept expires_unwritten
epoch-hold-untold	crates/core/src/stream/evacuation.rs	s/false => self\.merge_hold\(next\.hold\.as_ref\(\), now\),/false => {}/	-p rosemaryusher-core --test epoch_evacuation_kept new_balancer_informed
epoch-not-compared	crates/core/src/store_epoch.rs	s/pub struct StoreRevision \{\n(.*?\n)(.*?\n)(.*?\n)(.*?\n)\}/pub struct StoreRevision {\n$3$4$1$2}/s	-p rosemaryusher-core --test epoch_order later_epoch_wins
epoch-watch-goes-on	platform/src/store.rs	s/let is_current = since\.is_some_and\(\|since\| self\.is_current\(since\)\);/let is_current = true;/;s/since\.filter\(\|since\| self\.is_current\(\*since\)\)/since/	-p rosemaryusher-platform --test epoch_watch_overtaken
epoch-condition-reused	platform/src/store.rs	s/platform::WriteCondition::Version\(version\) if !self\.epochs\.is_current\(version\) => \{/platform::WriteCondition::Version(_) if false => {/	-p rosemaryusher-platform --test epoch_watch_overtaken condition_reused
epoch-restored-meanwhile	crates/node/src/platform.rs	s/WriteCondition::Version\(_\) if written\.epoch != sent_epoch/WriteCondition::Version(_) if false \&\& written.epoch != sent_epoch/	-p rosemaryusher-platform --test epoch_watch_overtaken restored_meanwhile
epoch-overtaken-taken	crates/core/src/store_epoch.rs	s/=> EpochOutcome::Overtaken,/=> EpochOutcome::Unchanged,/	-p rosemaryusher-core --test epoch_order tracked_by_answers
epoch-release-dropped	crates/node/src/release/restore.rs	s/_ => HeadStatus::Lost,/_ => HeadStatus::Replaced,/	-p rosemaryusher-node --test epoch_release_kept
epoch-announced-once	crates/node/src/stream/announce.rs	s/predates_restore\(context, announced\)\)/false \&\& predates_restore(context, announced))/	-p rosemaryusher-platform --test epoch_announcement_again
lost-before-answer	crates/core/src/stream/balancer/routing.rs	s/if !self\.table\.is_fresh\(agent, now\) =>/if false =>/	-p rosemaryusher-core --test stream_search lost_before_answer
waiting-never-sure	crates/core/src/stream/waiting.rs	s/pace\.work_ms > 0 && answered_ms <= limit_ms/false \&\& answered_ms <= limit_ms/	-p rosemaryusher-core --test admission_queue burst_waits
evacuation-unknown-placed	crates/core/src/stream/balancer/evacuations.rs	s/is_unknown && now\.since\(self\.started\) < EVACUATION_LIST_WAIT_MS/false \&\& is_unknown \&\& now.since(self.started) < EVACUATION_LIST_WAIT_MS/	-p rosemaryusher-core --test evacuate_restart openings_wait_for_list
evacuation-waits-for-ever	crates/core/src/stream/balancer/evacuations.rs	s/const EVACUATION_LIST_WAIT_MS: u64 = 1_000/const EVACUATION_LIST_WAIT_MS: u64 = 100_000/	-p rosemaryusher-core --test evacuate_restart no_list_available
evacuation-untold	crates/core/src/stream/balancer/neighbours.rs	s/self\.merge_evacuations\(&report\.evacuations, now, actions\);//	-p rosemaryusher-core --test evacuate_restart list_from_peer
evacuations-unguarded	crates/core/src/stream/agent_table/placement.rs crates/core/src/stream/agent/admission.rs	s/is_open && self\.exclusion\(known, needs\)\.is_none\(\)/is_open/;s/_ if self\.evacuations\.covers\(self\.config\.data_centre\) => \{/_ if false => {/	-p rosemaryusher-core --test stream_fuzz evacuations_hold
empty-watch-moves-on	platform/src/store.rs	s/Some\(changes\) if changes\.events\.is_empty\(\) => return Ok\(None\),/Some(changes) if changes.events.is_empty() => { self.revision.set(Some(self.store.epochs.revision(changes.current_rev))); return Ok(None) }/	-p rosemaryusher-platform --test evacuated_zones missed_change
cold-rate-unlimited	crates/core/src/stream/agent/admission.rs	s/self\.host_streams\.busy\(\) >= limit \|\| self\.is_rate_limited\(now\)/self.host_streams.busy() >= limit/	-p rosemaryusher-core --test slow_start_rate others_take_over
cold-share-untold	crates/core/src/stream/agent/mod.rs	s/if self\.is_rate_limited\(now\) \{ slots \} else \{ 0 \}/if self.is_rate_limited(now) { 0 } else { 0 }/	-p rosemaryusher-core --test slow_start_rate others_take_over
cold-return-trusted	crates/core/src/stream/agent/reports.rs	s/self\.slow_start\.assume_slow\(&rules, now\);/let _ = rules;/	-p rosemaryusher-core --test slow_start_rate restored_centre_limited
home-not-kept	crates/core/src/stream/agent_table/placement.rs	s/\(\) if !needs\.regions\.is_empty\(\) && !is_allowed\(\) => \{\s*Some\(PlacementExclusion::OtherRegion\)\s*\}/() if !needs.regions.is_empty() \&\& !is_allowed() => None,/	-p rosemaryusher-core --test allowed_regions opens_in_allowed_region
home-taken-anyway	crates/core/src/stream/agent/admission.rs	s/_ if !self\.is_allowed_here\(key\) => /_ if false \&\& !self.is_allowed_here(key) => /	-p rosemaryusher-core --test allowed_regions agent_returns_opening
zone-lost-untold	crates/core/src/stream/balancer/routing.rs	s/Some\(\(agent, true, _\)\) if self\.is_in_lost_centre\(agent\) => \{/Some((agent, true, _)) if false \&\& self.is_in_lost_centre(agent) => {/	-p rosemaryusher-core --test data_centre_lost repeating_callers_reset
zone-lost-waited-for	crates/core/src/stream/agent_table/exclusion.rs	s/_ if self\.is_in_lost_centre => Some\(SearchExclusion::CentreLost\),//	-p rosemaryusher-core --test data_centre_lost moved_callers_reset
zone-heard-by-others-ignored	crates/core/src/stream/balancer/centres.rs	s/Some\(\*centre\) != peer\.data_centre && !peer\.reachable_centres\.contains\(centre\)/Some(*centre) != peer.data_centre || !peer.reachable_centres.contains(centre)/	-p rosemaryusher-core --test data_centre_lost one_way_loss
zone-lost-too-soon	crates/core/src/stream/balancer/centres.rs	s/const CENTRE_TIMEOUT_MS: u64 = 1_500/const CENTRE_TIMEOUT_MS: u64 = 1_000/	-p rosemaryusher-core --test data_centre_lost agents_restarted
machine-gone-waited-for	crates/core/src/stream/agent_table/liveness.rs	s/true => is_overdue \|\| is_after_power_loss,/true => is_overdue,/	-p rosemaryusher-core --test stream_search machine_without_power
machine-cut-taken-for-gone	crates/core/src/stream/agent_table/liveness.rs	s/true => is_overdue \|\| is_after_power_loss,/true => true,/	-p rosemaryusher-core --test search_exclusions partitioned_machine
machine-start-unseen	crates/core/src/stream/agent/reports.rs	s/reported\.map_or\(seen, \|reported\| reported\.min\(seen\)\)/reported.map_or(seen, |_| seen)/	-p rosemaryusher-core --test stream_search start_not_observed
member-forgotten	crates/core/src/stream/agent_table/liveness.rs	s/now\.since\(known\.last_seen\(\)\) <= RETENTION_MS/now.since(known.last_report) <= RETENTION_MS/	-p rosemaryusher-core --test stream_fleet unsubscribed_agents_known
unsubscribed-taken-as-lost	crates/core/src/stream/agent_table/liveness.rs	s/None => known\.last_seen\(\)\.plus\(subscriptions::MENTION_TIMEOUT_MS\),/None => known.last_report,/;s/let is_gone = known\.machine\.is_gone\(now\);/let is_gone = true;/;s/match known\.machine\.is_gone\(now\) \{/match true {/	-p rosemaryusher-core --test stream_fleet unsubscribed_agents_known
all-subscribed	crates/core/src/stream/agent_table/subscriptions.rs	s/\.take\(2 \* limit\)//;s/responsive == limit/responsive == usize::MAX/	-p rosemaryusher-core --test stream_fleet messages_bounded
all-neighbours	crates/core/src/stream/balancer/neighbours.rs	s/subset::neighbours\(self\.config\.address, seen, SUCCESSOR_COUNT, RANDOM_PEER_COUNT\)/seen.collect()/	-p rosemaryusher-core --test stream_fleet messages_bounded
members-in-one	crates/core/src/stream/balancer/neighbours.rs	s/members\.chunks\(message::MAX_MEMBERS_PER_MESSAGE\)/members.chunks(usize::MAX)/	-p rosemaryusher-wire --test member_parts arrives_whole
old-report-kept	crates/core/src/stream/agent_table/liveness.rs	s/false => known\.report = None,/false => {}/	-p rosemaryusher-core --test agent_subscriptions old_report_dropped
failed-not-replaced	crates/core/src/stream/agent_table/subscriptions.rs	s/responsive \+= usize::from\(!is_unresponsive\)/responsive += 1/	-p rosemaryusher-core --test agent_subscriptions failed_ones_replaced
no-successors	crates/core/src/stream/balancer/neighbours.rs	s/const SUCCESSOR_COUNT: usize = 8/const SUCCESSOR_COUNT: usize = 0/	-p rosemaryusher-core --test stream_fleet three_watchers
unseen-neighbours-kept	crates/core/src/stream/balancer/neighbours.rs	s/let seen = self\.peers\.iter\(\)\.filter\(\|\(_, peer\)\| peer\.is_recently_seen\(now\)\);/let seen = self.peers.iter();/	-p rosemaryusher-core --test stream_fleet three_watchers
parts-to-reporters	crates/core/src/stream/balancer/neighbours.rs	s/let seen = \|\| self\.peers\.iter\(\)\.filter\(\|\(_, peer\)\| peer\.is_recently_seen\(now\)\);/let seen = || self.peers.iter().filter(|(_, peer)| peer.is_reachable);/	-p rosemaryusher-core --test stream_fleet few_false_timeouts
list-kept-unannounced	crates/core/src/stream/balancer/member_list.rs	s/_ if self\.is_withdrawn => Some\(MemberListGap::Withdrawn\),//	-p rosemaryusher-core --test member_list agent_added_after_withdrawal
list-kept-after-restore	crates/core/src/stream/balancer/member_list.rs	s/self\.announced_epoch < self\.store_epoch/false/	-p rosemaryusher-core --test member_list announcement_lost
list-kept-cut-off	crates/core/src/stream/balancer/member_list.rs	s/const MAX_SILENCE_MS: u64 = 900/const MAX_SILENCE_MS: u64 = 90_000/	-p rosemaryusher-core --test member_list agent_added_while_cut_off
list-completed-after-query	crates/core/src/stream/balancer/member_list.rs	s/\|complete\| complete <= since/|_| true/	-p rosemaryusher-core --test member_list gaps
no-gossip-while-leaving	crates/core/src/stream/balancer/neighbours.rs	s/let seen = \|\| self\.peers\.iter\(\)\.filter\(\|\(_, peer\)\| peer\.is_recently_seen\(now\)\);/let seen = || self.peers.iter().filter(|(_, peer)| peer.is_recently_seen(now) \&\& !peer.is_leaving);/	-p rosemaryusher-core --test member_list gossip_while_leaving
former-service-not-asked	crates/core/src/stream/balancer/service_history.rs	s/\[service\]\.into_iter\(\)\.chain\(former\)\.collect\(\)/{ drop(former); vec![service] }/	-p rosemaryusher-core --test service_changed open_streams_kept
young-history-trusted	crates/core/src/stream/balancer/service_history.rs	s/is_some_and\(\|since\| now\.since\(since\) >= self\.retention_ms\)/is_some_and(|since| since <= now)/	-p rosemaryusher-core --test service_changed all_balancers_started
older-config-trusted	crates/core/src/stream/balancer/mod.rs	s/self\.newest_generation <= self\.state\.generation\(\)/true/	-p rosemaryusher-core --test service_changed older_configuration
former-not-gossiped	crates/core/src/stream/balancer/neighbours.rs	s/recipient\.filter\(\|_\| !self\.service_history\.is_empty\(\)\)/recipient.filter(|_| false)/	-p rosemaryusher-core --test service_changed change_missed_briefly
change-during-search	crates/core/src/stream/balancer/service_history.rs	s/change\.learned < since/change.learned >= since || true/	-p rosemaryusher-core --test service_changed history
label-trusted	crates/core/src/stream/agent/admission.rs	s/carry\.service != self\.config\.service && self\.does_not_hold\(key, now\)/carry.service != self.config.service/	-p rosemaryusher-core --test service_changed other_label
other-services-asked	crates/core/src/stream/balancer/service_history.rs	s/true => ServiceScope::Of\(services\),/true => ServiceScope::Undenied(generation, services),/	-p rosemaryusher-core --test service_changed other_services_not_asked
near-number-accepted	crates/core/src/stream/host_streams.rs	s/match is_seen_whole \{/match false \&\& is_seen_whole {/	-p rosemaryusher-core --test stream_halves near_initial_numbers
near-number-after-restart	crates/core/src/stream/agent/admission.rs	s/self\.started\.plus\(host_streams::OPENING_MS\)/ids::UnixMillis(u64::MAX)/	-p rosemaryusher-core --test stream_halves near_initial_numbers
former-denial-ignored	crates/core/src/stream/balancer/service_history.rs	s/\&\& denied != Some\(\*generation\)//	-p rosemaryusher-core --test service_changed power_loss
undenied-left-out	crates/core/src/stream/balancer/service_history.rs	s/services\.contains\(\&service\) \|\| self\.awaits_denial\(service, denied\)/services.contains(\&service)/	-p rosemaryusher-core --test service_changed all_balancers_started
former-stream-denied	crates/core/src/stream/agent/mod.rs	s/\&\& self\.host_streams\.entries\(\)\.all\(is_own\)//;s/let is_own =/let _is_own =/	-p rosemaryusher-core --test service_changed all_balancers_started
TABLE
}

# Files that the tree no longer has must not be left in the copy.
rm -rf "$copy"
mkdir -p "$copy"
survivors=0
while IFS=$'\t' read -r name file change test; do
  if [ $# -gt 0 ] && ! printf '%s\n' "$@" | grep -qx -- "$name"; then continue; fi
  tar --exclude=./target --exclude=./.git -cf - . | tar -xf - -C "$copy"
  fits=yes
  for one in $file; do
    perl -0pi -e "$change" "$copy/$one"
    if cmp -s "$one" "$copy/$one"; then fits=no; fi
    touch "$copy/$one"
  done
  if [ $fits = no ]; then
    echo "$name: THE SUBSTITUTION DOES NOT FIT $file"; survivors=$((survivors + 1)); continue
  fi
  if output=$(cd "$copy" && cargo test --quiet $test 2>&1); then
    echo "$name: SURVIVED $test"; survivors=$((survivors + 1))
  elif grep -q 'could not compile' <<<"$output"; then
    echo "$name: DOES NOT COMPILE"; survivors=$((survivors + 1))
    grep -m3 -A5 '^error' <<<"$output"
  else
    echo "$name: noticed: $(grep -m1 -A1 'panicked at' <<<"$output" | tail -1 | cut -c1-110)"
  fi
  for one in $file; do cp "$one" "$copy/$one"; touch "$copy/$one"; done
done < <(table)
exit $((survivors > 0))
