//! Revisions in log order and current documents.
//!
//! The outcome of a publish must be the same on every node, so it is decided only
//! by the revisions that this node has read from the log. The current documents
//! may be newer, because peers relay them; both agree again once the log has been
//! read up to the relayed offset.

use std::{collections::BTreeMap, rc::Rc, sync::Arc};

use hemlocksaddle_types::{
    document::{Document, Revision},
    name::ServiceName,
    peer::RelayedDocument,
    record::{Offset, Publish},
};

use crate::invariant::{Invariant, Invariants};

/// Number of documents in a relay reply, to which the whole batch of the next document is added.
///
/// Even with texts of the maximum length and a full batch of snapshots, a reply
/// stays below the 16 MB message limit of a peer connection.
const MAX_RELAYED: usize = 32;

/// Current document of a service.
#[derive(Clone, Debug)]
pub struct CurrentDocument {
    /// Document.
    pub document: Rc<Document>,
    /// Revision.
    pub revision: Revision,
    /// Offset of the batch that contained it.
    pub offset: Offset,
}

/// Outcome of a publish.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublishOutcome {
    /// Accepted with this revision.
    Accepted(Revision),
    /// Expected revision was not the current one, which is given.
    Conflict(Revision),
    /// Text is not a valid document of the service; the reason is given.
    Invalid(Arc<str>),
    /// Unknown to this node, which read a truncated stream without the previous revision.
    Unknown,
    /// Certain not to be in the log, now or later.
    NotAppended,
}

/// Documents of all services.
#[derive(Default)]
pub(super) struct Registry {
    /// Latest revisions read from the log.
    log_revisions: BTreeMap<ServiceName, Revision>,
    /// Latest documents, from the log or from peers.
    current: BTreeMap<ServiceName, CurrentDocument>,
}

/// Parses a document and checks that it describes the service.
pub(super) fn parse(service: &ServiceName, text: &Arc<str>) -> Result<Document, Arc<str>> {
    let document = Document::try_from(text.clone()).map_err(|error| error.to_string())?;
    match document.service == *service {
        true => Ok(document),
        false => Err(Arc::from(format!(
            "[service] name = {}: the document was published as {service}",
            document.service
        ))),
    }
}

impl Registry {
    pub(super) fn get(&self, service: &ServiceName) -> Option<&CurrentDocument> {
        self.current.get(service)
    }

    pub(super) fn all(&self) -> impl Iterator<Item = &CurrentDocument> {
        self.current.values()
    }

    /// Decides on a publish read from the log and applies it if accepted.
    pub(super) fn publish(
        &mut self,
        publish: &Publish,
        offset: Offset,
        is_truncated: bool,
        invariants: &Invariants,
    ) -> PublishOutcome {
        let known = self.log_revisions.get(&publish.service).copied();
        if known.is_none() && is_truncated && publish.expected != Revision(0) {
            return PublishOutcome::Unknown;
        }
        let current = known.unwrap_or_default();
        if publish.expected != current {
            return PublishOutcome::Conflict(current);
        }
        let document = match parse(&publish.service, &publish.text) {
            Ok(document) => document,
            Err(text) => return PublishOutcome::Invalid(text),
        };
        let revision = Revision(current.0 + 1);
        self.log_revisions.insert(publish.service.clone(), revision);
        self.put(document, revision, offset, invariants);
        PublishOutcome::Accepted(revision)
    }

    /// Applies a snapshot of a document read from the log.
    pub(super) fn apply_snapshot(
        &mut self,
        service: &ServiceName,
        revision: Revision,
        text: &Arc<str>,
        offset: Offset,
        invariants: &Invariants,
    ) {
        let known = self.log_revisions.get(service).copied().unwrap_or_default();
        let Ok(document) = parse(service, text) else {
            return;
        };
        if revision > known {
            self.log_revisions.insert(service.clone(), revision);
        }
        self.put(document, revision, offset, invariants);
    }

    /// Applies a document relayed by a peer; returns whether it became current.
    ///
    /// Does not affect the outcome of publishes read from the log.
    pub(super) fn apply_relayed(
        &mut self,
        relayed: &RelayedDocument,
        invariants: &Invariants,
    ) -> bool {
        let document = parse(&relayed.service, &relayed.text);
        document
            .is_ok_and(|document| self.put(document, relayed.revision, relayed.offset, invariants))
    }

    /// Makes a document current if its revision is newer; returns whether it was.
    ///
    /// Offsets are not compared: a snapshot of an old revision may have a higher
    /// offset than a newer revision.
    fn put(
        &mut self,
        document: Document,
        revision: Revision,
        offset: Offset,
        invariants: &Invariants,
    ) -> bool {
        let service = document.service.clone();
        if let Some(current) = self.current.get(&service) {
            let is_same = current.revision != revision || current.document.text == document.text;
            let is_consistent =
                invariants.check(Invariant::ConfigurationNeverReverts, is_same, || {
                    format!("{service} has two texts of revision {}", revision.0)
                });
            if !is_consistent || revision <= current.revision {
                return false;
            }
        }
        let document = Rc::new(document);
        self.current.insert(
            service,
            CurrentDocument {
                document,
                revision,
                offset,
            },
        );
        true
    }

    /// Documents from an offset on in order of offset, and the first offset that they do not cover.
    pub(super) fn since(
        &self,
        since: Offset,
        applied_next: Offset,
    ) -> (Vec<RelayedDocument>, Offset) {
        let newer = self.all().filter(|document| document.offset >= since);
        let mut newer: Vec<&CurrentDocument> = newer.collect();
        newer.sort_by_key(|document| document.offset);
        let cutoff = newer.get(MAX_RELAYED).map(|document| document.offset);
        let covered_next = match cutoff {
            // A batch is never split: with one above the limit, the reader would request the same
            // offset forever.
            Some(cutoff) => Offset(cutoff.0 + 1).min(applied_next),
            None => applied_next,
        };
        newer.retain(|document| cutoff.is_none_or(|cutoff| document.offset <= cutoff));
        let relayed = newer.iter().map(|current| RelayedDocument {
            service: current.document.service.clone(),
            revision: current.revision,
            offset: current.offset,
            text: current.document.text.clone(),
        });
        (relayed.collect(), covered_next)
    }
}
